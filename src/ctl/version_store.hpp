// Durable files of a machine's agent. Every call may wait for the disk.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::ctl {

// The digest of a content: XXH3, 128 bits, in hexadecimal. It tells versions apart, but is no protection
// against forgery.
std::string digestOf(std::string_view content);
// The digest of a file's content. Throws std::runtime_error when the file can't be read.
std::string digestOfFile(const std::string& path);

// Replaces a file: written beside it, synced, renamed, and the folder synced, so that after a crash there is
// the old content or the new one. Throws std::runtime_error that begins with "can't " and states the path and
// the system's error.
void writeAtomically(const std::string& path, std::string_view content, int mode = 0644);

// Removes what killed processes have left of writeAtomically in a folder and below. To be called while
// nothing is written there.
void removeTemporaryFiles(const std::string& folder);

// As writeAtomically, with a first line that states the file's format and the content's digest.
void writeChecked(const std::string& path, std::string_view content);
// The content that writeChecked wrote; nothing where there is no file. Throws std::runtime_error where the
// file is of another format, or damaged.
std::optional<std::string> readChecked(const std::string& path);

// Programs and configuration templates in a folder, by the digest of their content.
//
// Guarantees: what is stored is durable and found under its digest until somebody else removes it, and is
// checked against its digest before it is used. Owns nothing but the folder's path, so copies may be used on
// several threads.
class VersionStore {
  public:
    explicit VersionStore(std::string folder) : folder_(std::move(folder)) {}

    // Stores a copy, unless it is there, and returns its digest. Throws std::runtime_error.
    std::string storeProgram(const std::string& path) const;
    std::string storeTemplate(const std::string& text) const;

    // The path under which a program is stored, whether or not it is there.
    std::string programPath(const std::string& digest) const { return folder_ + "/" + digest + "/program"; }
    // Throws std::runtime_error when the program is missing or damaged.
    void checkProgram(const std::string& digest) const;
    // The text of a template. Throws std::runtime_error when it is missing or damaged.
    std::string templateText(const std::string& digest) const;
    // The digest of a stored program, from the path of a running one; empty where it is none of these.
    std::string digestIn(std::string_view path) const;

  private:
    std::string templatePath(const std::string& digest) const { return folder_ + "/" + digest + ".form"; }

    std::string folder_;
};

}  // namespace poppyscale::ctl
