// What a machine's agent keeps on disk: small files that are whole or not there, and programs and forms by
// their content. Every call may wait for the disk.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::ctl {

// XXH3, 128 bits, in hexadecimal: told apart are versions, not forgers.
std::string digestOf(std::string_view bytes);
// Throws std::runtime_error when the file can't be read.
std::string digestOfFile(const std::string& path);

// Written beside, synced, renamed, and the folder synced: after a crash there is the old file or the new one.
// Throws std::runtime_error with the path and what the system said.
void writeAtomically(const std::string& path, std::string_view bytes, int mode = 0644);

// What a process that was killed has left half written, here and below; to be called while nobody writes.
void removeTemporaryFiles(const std::string& folder);

// The same with a line in front that says its format and digest.
void writeChecked(const std::string& path, std::string_view bytes);
// Nothing where there is no file; throws std::runtime_error when it is not what was written.
std::optional<std::string> readChecked(const std::string& path);

// Programs and forms of a folder, by digest.
class VersionStore {
  public:
    explicit VersionStore(std::string folder) : folder_(std::move(folder)) {}
    // Copies, unless it is there; the digest. Throws std::runtime_error.
    std::string storeProgram(const std::string& path) const;
    std::string storeTemplate(const std::string& text) const;
    std::string programPath(const std::string& digest) const { return folder_ + "/" + digest + "/program"; }
    // Throws std::runtime_error when it is not there, or not what it was.
    void checkProgram(const std::string& digest) const;
    std::string templateText(const std::string& digest) const;
    // The digest in the path of a program that runs, or empty where it is not one of these.
    std::string digestIn(std::string_view path) const;

  private:
    std::string folder_;
};

}  // namespace poppyscale::ctl
