// Durable files of a machine's agent. Every function may wait for the disk.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::ctl {

// The XXH3 digest of `content`: 128 bits, in hexadecimal. It tells versions apart, but does not protect
// against forgery.
std::string digestOf(std::string_view content);
// The digest of a file's content. Throws std::runtime_error if the file can't be read.
std::string digestOfFile(const std::string& path);

// Replaces a file so that after a crash it has the old or the new content: writes and syncs a temporary file
// beside it, renames that file, and syncs the folder. Throws std::runtime_error; its text begins with
// "can't " and contains the path and the system's error.
void writeAtomically(const std::string& path, std::string_view content, int mode = 0644);

// Removes the temporary files that killed processes have left in a folder and its subfolders. Must not be
// called while writeAtomically runs there.
void removeTemporaryFiles(const std::string& folder);

// As writeAtomically, with a first line that states the file's format and the content's digest.
void writeChecked(const std::string& path, std::string_view content);
// The content that writeChecked wrote; nullopt if there is no file. Throws std::runtime_error if the file has
// another format or is damaged.
std::optional<std::string> readChecked(const std::string& path);

// Stores programs and configuration templates in a folder, under the digests of their contents.
//
// Guarantees: a stored program or template is durable and stays until it is removed from outside.
// checkProgram and templateText verify the stored content against its digest. Owns only the folder's path, so
// copies may be used on several threads.
class VersionStore {
  public:
    explicit VersionStore(std::string folder) : folder_(std::move(folder)) {}

    // Store a copy of the program at a path, or of a template's text, unless it is stored already. Return its
    // digest. Throw std::runtime_error.
    std::string storeProgram(const std::string& path) const;
    std::string storeTemplate(const std::string& text) const;

    // The path at which a program is stored, or would be stored.
    std::string programPath(const std::string& digest) const { return folder_ + "/" + digest + "/program"; }
    // Throws std::runtime_error if the program is missing or damaged.
    void checkProgram(const std::string& digest) const;
    // The text of a template. Throws std::runtime_error if it is missing or damaged.
    std::string templateText(const std::string& digest) const;
    // The digest in the path of a stored program; empty if the path is not in this store.
    std::string digestIn(std::string_view path) const;

  private:
    std::string templatePath(const std::string& digest) const { return folder_ + "/" + digest + ".form"; }

    std::string folder_;
};

}  // namespace poppyscale::ctl
