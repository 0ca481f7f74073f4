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

namespace poppyscale::ctl {
namespace {

constexpr std::string_view kHead = "poppyscale-1 ";
constexpr const char* kBeside = ".new-";

[[noreturn]] void fail(const char* what, const std::string& path, int code) {
    throw std::runtime_error(fmt::format("can't {} {}: {}", what, path, std::strerror(code)));
}

std::string readAll(const std::string& path) {
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) fail("read", path, errno);
    struct stat at {};
    std::string text;
    if (::fstat(fd, &at) == 0) text.resize(static_cast<std::size_t>(at.st_size));
    std::size_t got = 0;
    ssize_t one = 0;
    while (got < text.size() && (one = ::read(fd, text.data() + got, text.size() - got)) > 0)
        got += static_cast<std::size_t>(one);
    const int failed = one < 0 ? errno : got < text.size() ? EIO : 0;
    ::close(fd);
    if (failed) fail("read", path, failed);
    return text;
}

void makeFolder(const std::string& path) {
    if (::mkdir(path.c_str(), 0755) != 0 && errno != EEXIST) fail("make", path, errno);
}

}  // namespace

std::string digestOf(std::string_view bytes) {
    const XXH128_hash_t h = XXH3_128bits(bytes.data(), bytes.size());
    return fmt::format("{:016x}{:016x}", h.high64, h.low64);
}

std::string digestOfFile(const std::string& path) { return digestOf(readAll(path)); }

void writeAtomically(const std::string& path, std::string_view bytes, int mode) {
    // A name of its own: two threads may write one file, and neither may rename the other's half.
    const std::string beside = fmt::format("{}{}{}", path, kBeside, ::gettid());
    const int fd = ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
    if (fd < 0) fail("write", path, errno);
    int failed = 0;
    while (!bytes.empty() && !failed) {
        const ssize_t wrote = ::write(fd, bytes.data(), bytes.size());
        if (wrote < 0 && errno == EINTR) continue;
        if (wrote <= 0)
            failed = wrote < 0 ? errno : ENOSPC;
        else
            bytes.remove_prefix(static_cast<std::size_t>(wrote));
    }
    // A sync that failed once tells nothing of what is there: the file is written anew, never synced again.
    if (!failed && ::fsync(fd) != 0) failed = errno;
    if (::close(fd) != 0 && !failed) failed = errno;
    if (!failed && ::rename(beside.c_str(), path.c_str()) != 0) failed = errno;
    if (failed) {
        ::unlink(beside.c_str());
        fail("write", path, failed);
    }
    const std::string folder = std::filesystem::path(path).parent_path();
    const int at = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (at < 0) fail("sync", folder, errno);
    if (::fsync(at) != 0) failed = errno;
    ::close(at);
    if (failed) fail("sync", folder, failed);
}

void removeTemporaryFiles(const std::string& folder) {
    std::error_code none;
    for (const auto& one : std::filesystem::recursive_directory_iterator(folder, none))
        if (one.path().filename().string().find(kBeside) != std::string::npos)
            std::filesystem::remove(one.path(), none);
}

void writeChecked(const std::string& path, std::string_view bytes) {
    writeAtomically(path, fmt::format("{}{}\n{}", kHead, digestOf(bytes), bytes));
}

std::optional<std::string> readChecked(const std::string& path) {
    if (::access(path.c_str(), F_OK) != 0 && errno == ENOENT) return std::nullopt;
    const std::string all = readAll(path);
    const auto end = all.find('\n');
    if (!all.starts_with(kHead) || end == std::string::npos)
        throw std::runtime_error(path + " is of another format than poppyscale-1");
    std::string rest = all.substr(end + 1);
    if (all.substr(kHead.size(), end - kHead.size()) != digestOf(rest))
        throw std::runtime_error(path + " is not as it was written");
    return rest;
}

std::string VersionStore::storeProgram(const std::string& path) const {
    const std::string bytes = readAll(path);
    const std::string digest = digestOf(bytes);
    const std::string kept = programPath(digest);
    makeFolder(folder_);
    makeFolder(folder_ + "/" + digest);
    std::error_code unread;
    if (std::filesystem::file_size(kept, unread) == bytes.size() && !unread && digestOfFile(kept) == digest)
        return digest;
    writeAtomically(kept, bytes, 0755);
    return digest;
}

std::string VersionStore::storeTemplate(const std::string& text) const {
    const std::string digest = digestOf(text);
    makeFolder(folder_);
    const std::string kept = folder_ + "/" + digest + ".form";
    if (::access(kept.c_str(), F_OK) != 0 || readAll(kept) != text) writeAtomically(kept, text);
    return digest;
}

void VersionStore::checkProgram(const std::string& digest) const {
    const std::string path = programPath(digest);
    if (::access(path.c_str(), X_OK) != 0) fail("run", path, errno);
    if (digestOfFile(path) != digest) throw std::runtime_error(path + " is not the program that it was");
}

std::string VersionStore::templateText(const std::string& digest) const {
    const std::string path = folder_ + "/" + digest + ".form";
    std::string text = readAll(path);
    if (digestOf(text) != digest) throw std::runtime_error(path + " is not the form that it was");
    return text;
}

std::string VersionStore::digestIn(std::string_view path) const {
    if (!path.starts_with(folder_ + "/")) return "";
    path.remove_prefix(folder_.size() + 1);
    return std::string(path.substr(0, path.find('/')));
}

}  // namespace poppyscale::ctl
