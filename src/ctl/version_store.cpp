#include "ctl/version_store.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <stdexcept>

#include "base/file_descriptor.hpp"

namespace poppyscale::ctl {
namespace {

constexpr std::string_view kFormatLine = "poppyscale-1 ";  // followed by the digest
constexpr std::string_view kTemporarySuffix = ".new-";     // followed by the thread's id

[[noreturn]] void fail(const char* action, const std::string& path, int error) {
    throw std::runtime_error(fmt::format("can't {} {}: {}", action, path, std::strerror(error)));
}

std::string readFile(const std::string& path) {
    const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.isOpen()) fail("read", path, errno);
    struct stat status {};
    std::string content;
    if (::fstat(file.get(), &status) == 0) content.resize(static_cast<std::size_t>(status.st_size));
    std::size_t filled = 0;
    while (filled < content.size()) {
        const ssize_t size = ::read(file.get(), content.data() + filled, content.size() - filled);
        if (size < 0) fail("read", path, errno);
        if (size == 0) fail("read", path, EIO);
        filled += static_cast<std::size_t>(size);
    }
    return content;
}

// Returns 0, or errno of the failure.
int writeFully(const FileDescriptor& file, std::string_view content) {
    while (!content.empty()) {
        const ssize_t written = ::write(file.get(), content.data(), content.size());
        if (written < 0 && errno == EINTR) continue;
        if (written < 0) return errno;
        if (written == 0) return ENOSPC;
        content.remove_prefix(static_cast<std::size_t>(written));
    }
    return 0;
}

// Returns 0, or errno of the failure. Closes the file in either case.
int writeAndSync(FileDescriptor file, std::string_view content) {
    int error = writeFully(file, content);
    // A failed fsync is not repeated: the second one may succeed although the data was lost. The caller
    // discards the file.
    if (error == 0 && ::fsync(file.get()) != 0) error = errno;
    if (!file.close() && error == 0) error = errno;
    return error;
}

void syncFolder(const std::string& folder) {
    const FileDescriptor file(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!file.isOpen()) fail("sync", folder, errno);
    if (::fsync(file.get()) != 0) fail("sync", folder, errno);
}

void makeFolder(const std::string& path) {
    if (::mkdir(path.c_str(), 0755) != 0 && errno != EEXIST) fail("create folder", path, errno);
}

}  // namespace

std::string digestOf(std::string_view content) {
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::string digestOfFile(const std::string& path) { return digestOf(readFile(path)); }

void writeAtomically(const std::string& path, std::string_view content, int mode) {
    // Each thread uses its own name, so that of two threads that write the same file neither renames the
    // other's partial one.
    const std::string temporary = fmt::format("{}{}{}", path, kTemporarySuffix, ::gettid());
    FileDescriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode));
    if (!file.isOpen()) fail("write", path, errno);
    // open() may have dropped permissions, such as a program's execute permission, because of the umask.
    ::fchmod(file.get(), static_cast<mode_t>(mode));
    int error = writeAndSync(std::move(file), content);
    if (error == 0 && ::rename(temporary.c_str(), path.c_str()) != 0) error = errno;
    if (error != 0) {
        ::unlink(temporary.c_str());
        fail("write", path, error);
    }
    syncFolder(std::filesystem::path(path).parent_path());
}

void removeTemporaryFiles(const std::string& folder) {
    std::error_code ignored;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(folder, ignored))
        if (entry.path().filename().string().find(kTemporarySuffix) != std::string::npos)
            std::filesystem::remove(entry.path(), ignored);
}

void writeChecked(const std::string& path, std::string_view content) {
    writeAtomically(path, fmt::format("{}{}\n{}", kFormatLine, digestOf(content), content));
}

std::optional<std::string> readChecked(const std::string& path) {
    if (::access(path.c_str(), F_OK) != 0 && errno == ENOENT) return std::nullopt;
    const std::string text = readFile(path);
    const auto lineEnd = text.find('\n');
    if (!text.starts_with(kFormatLine) || lineEnd == std::string::npos)
        throw std::runtime_error(path + ": unsupported format, expected poppyscale-1");
    std::string content = text.substr(lineEnd + 1);
    if (text.substr(kFormatLine.size(), lineEnd - kFormatLine.size()) != digestOf(content))
        throw std::runtime_error(path + ": damaged, its content does not match the digest in its first line");
    return content;
}

std::string VersionStore::storeProgram(const std::string& path) const {
    const std::string content = readFile(path);
    const std::string digest = digestOf(content);
    const std::string stored = programPath(digest);
    makeFolder(folder_);
    makeFolder(folder_ + "/" + digest);
    std::error_code error;
    const bool isSameSize = std::filesystem::file_size(stored, error) == content.size() && !error;
    if (isSameSize && digestOfFile(stored) == digest) return digest;
    writeAtomically(stored, content, 0755);
    return digest;
}

std::string VersionStore::storeTemplate(const std::string& text) const {
    const std::string digest = digestOf(text);
    makeFolder(folder_);
    const std::string stored = templatePath(digest);
    if (::access(stored.c_str(), F_OK) != 0 || readFile(stored) != text) writeAtomically(stored, text);
    return digest;
}

void VersionStore::checkProgram(const std::string& digest) const {
    const std::string path = programPath(digest);
    if (::access(path.c_str(), X_OK) != 0) fail("run", path, errno);
    if (digestOfFile(path) != digest)
        throw std::runtime_error(path + ": damaged, the program does not match the digest in its path");
}

std::string VersionStore::templateText(const std::string& digest) const {
    const std::string path = templatePath(digest);
    std::string text = readFile(path);
    if (digestOf(text) != digest)
        throw std::runtime_error(path + ": damaged, the template does not match the digest in its name");
    return text;
}

std::string VersionStore::digestIn(std::string_view path) const {
    if (!path.starts_with(folder_ + "/")) return "";
    path.remove_prefix(folder_.size() + 1);
    return std::string(path.substr(0, path.find('/')));
}

}  // namespace poppyscale::ctl
