#include "process/hot_restart/inherited_sockets.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "protocol/number.hpp"

namespace poppyscale::process {
namespace {

constexpr Nanos kPatience = 5'000 * kMillisecond;  // with the other process, for each of its answers
constexpr std::size_t kPartOfLine = 64 * 1024;
constexpr std::size_t kLongestLine = 64 << 20;  // the answers of a process with a million servers are shorter

sockaddr_un localAddress(const std::string& path) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path.size() >= sizeof at.sun_path)
        throw std::runtime_error("the path of a socket is too long: " + path);
    std::memcpy(at.sun_path, path.data(), path.size());
    return at;
}

}  // namespace

PeerClient::PeerClient(const std::string& path, Nanos patience) {
    const sockaddr_un at = localAddress(path);
    const timeval wait{static_cast<time_t>(patience / (1000 * kMillisecond)),
                       static_cast<suseconds_t>(patience % (1000 * kMillisecond) / 1000)};
    socket_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return;
    const int failed = errno;
    ::close(socket_);
    throw std::system_error(failed, std::generic_category(), path);
}

PeerClient::~PeerClient() {
    if (socket_ >= 0) ::close(socket_);
}

void PeerClient::finish() const { ::shutdown(socket_, SHUT_WR); }

int PeerClient::release() { return std::exchange(socket_, -1); }

void PeerClient::write(const nlohmann::json& word) {
    const std::string line = word.dump() + "\n";
    if (::send(socket_, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
        throw std::runtime_error("the other process does not hear");
}

nlohmann::json PeerClient::readLine() {
    std::string line;
    while (!line.ends_with('\n')) {
        if (line.size() > kLongestLine) throw std::runtime_error("the other process says too long a line");
        line += readPartOfLine();
    }
    const auto said = nlohmann::json::parse(line);
    if (said.contains("error")) throw std::runtime_error(said["error"].get<std::string>());
    return said;
}

// Looks before it takes: what follows the line may carry a socket and must not be read with it.
std::string PeerClient::readPartOfLine() {
    std::string part(kPartOfLine, '\0');
    const auto seen = ::recv(socket_, part.data(), part.size(), MSG_PEEK);
    if (seen <= 0) throw PeerUnresponsive("the other process is silent");
    part.resize(static_cast<std::size_t>(seen));
    if (const auto end = part.find('\n'); end != std::string::npos) part.resize(end + 1);
    const auto got = ::recv(socket_, part.data(), part.size(), 0);
    if (got <= 0) throw PeerUnresponsive("the other process is silent");
    part.resize(static_cast<std::size_t>(got));
    return part;
}

int fetchOperatorState(const std::string& path, Nanos patience, std::string& words) {
    std::optional<PeerClient> caller;
    try {
        caller.emplace(path, patience);
    } catch (const std::system_error& problem) {
        const int code = problem.code().value();
        if (code == ENOENT || code == ECONNREFUSED) return -1;
        throw;
    }
    caller->write({{"do", "succeed"}});
    words = caller->readLine().at("words").get<std::string>();
    return caller->release();
}

InheritedSockets::InheritedSockets(const std::string& path) try : caller_(path, kPatience) {
    caller_.write({{"do", "take-over"}});
    const auto said = caller_.readLine();
    describedConfig_ = said.at("described").get<std::string>();
    listener_ = receive();
    if (said.value("console", false)) console_ = receive();
} catch (const std::exception& problem) {
    throw std::runtime_error(fmt::format("can't take over: {}", problem.what()));
}

int InheritedSockets::receive() const {
    char byte = 0;
    iovec piece{&byte, 1};
    alignas(cmsghdr) char room[CMSG_SPACE(sizeof(int))] = {};
    msghdr message{};
    message.msg_iov = &piece;
    message.msg_iovlen = 1;
    message.msg_control = room;
    message.msg_controllen = sizeof room;
    const auto got = ::recvmsg(caller_.descriptor(), &message, MSG_CMSG_CLOEXEC);
    const cmsghdr* const head = got == 1 ? CMSG_FIRSTHDR(&message) : nullptr;
    // At the limit of descriptors the kernel delivers the byte without what it carried.
    if (!head || head->cmsg_type != SCM_RIGHTS || message.msg_flags & MSG_CTRUNC)
        throw std::runtime_error("no socket came");
    int received = -1;
    std::memcpy(&received, CMSG_DATA(head), sizeof received);
    return received;
}

InheritedSockets::~InheritedSockets() {
    if (listener_ >= 0) ::close(listener_);
    if (console_ >= 0) ::close(console_);
}

int InheritedSockets::takeListener() { return std::exchange(listener_, -1); }
int InheritedSockets::takeConsole() { return std::exchange(console_, -1); }

bool InheritedSockets::isAt(const transport::Address& address) const {
    transport::Address at{};
    socklen_t size = sizeof at;
    return ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size) == 0 &&
           transport::sameAddress(at, address);
}

void InheritedSockets::reportReady(const nlohmann::json& word) {
    caller_.write(word);
    try {
        caller_.readLine();
    } catch (const PeerUnresponsive&) {
        // Held up, it would read our word later and let go though nobody is here. It looks for our end first,
        // so that what it says from now on is no, and what it said before is here by then.
        caller_.finish();
        caller_.readLine();
    }
}

void InheritedSockets::reportFailure(const std::string& why) noexcept {
    try {
        caller_.write({{"do", "refuse"}, {"why", why}});
        caller_.readLine();
    } catch (const std::exception&) {
        // It goes on as before in any case.
    }
}

NewProcess::NewProcess(const std::vector<std::string>& commandLine) {
    std::vector<std::string> held = commandLine;
    std::vector<char*> arguments;
    for (auto& one : held) arguments.push_back(one.data());
    arguments.push_back(nullptr);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failed = ::posix_spawnp(&pid_, arguments[0], nullptr, &attributes, arguments.data(), environ);
    posix_spawnattr_destroy(&attributes);
    if (failed) throw std::runtime_error(fmt::format("can't start {}: {}", held[0], std::strerror(failed)));
}

NewProcess::~NewProcess() {
    if (pid_ < 0 || hasExited()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

bool NewProcess::hasExited() {
    if (pid_ < 0) return true;
    if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
}

int passedListener(const std::string& said) {
    const auto wrong = [&](const char* what) {
        return std::runtime_error(fmt::format("ROUTER_PASSED_SOCKET is '{}': {}", said, what));
    };
    const auto number = protocol::parse<int>(said);
    if (!number || *number < 0) throw wrong("not the number of a descriptor");
    if (::fcntl(*number, F_GETFD) < 0) throw wrong("no descriptor that is open");
    const auto option = [&](int name) {
        int value = 0;
        socklen_t size = sizeof value;
        return ::getsockopt(*number, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
    };
    if (option(SO_TYPE) != SOCK_STREAM) throw wrong("not a stream socket");
    if (option(SO_ACCEPTCONN) != 1) throw wrong("a socket that does not listen");
    ::fcntl(*number, F_SETFD, FD_CLOEXEC);
    return *number;
}

void notifyServiceManager(const std::string& words) {
    const char* const path = std::getenv("NOTIFY_SOCKET");
    if (!path || (path[0] != '/' && path[0] != '@')) return;
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    const std::size_t size = std::strlen(path);
    if (size >= sizeof at.sun_path) return;
    std::memcpy(at.sun_path, path, size);
    if (path[0] == '@') at.sun_path[0] = '\0';
    const int socket = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto length = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + size);
    ::sendto(socket, words.data(), words.size(), MSG_NOSIGNAL | MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&at), length);
    ::close(socket);
}

}  // namespace poppyscale::process
