// Test fixtures: sockets, servers, processes of the program, and a router with its servers. Every
// wait for a socket is bounded.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "policy_fixture.hpp"

namespace poppyscale::test {

constexpr int kWaitTimeoutMs = 5'000;  // long enough for runs with sanitizers

inline bool becomesReadable(int descriptor, int timeoutMs) {
    pollfd polled{descriptor, POLLIN, 0};
    return poll(&polled, 1, timeoutMs) == 1;
}

inline sockaddr_in loopbackAddress(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// One end of a connection. When the expected bytes do not arrive within kWaitTimeoutMs, or the peer
// closes the connection, the functions that read return the bytes that have arrived until then.
class Socket {
  public:
    explicit Socket(int descriptor) : descriptor_(descriptor) {}
    explicit Socket(std::uint16_t port) : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const auto address = loopbackAddress(port);
        if (connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) close();
    }
    Socket(Socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)), received_(std::move(other.received_)) {}
    Socket& operator=(Socket&& other) noexcept {
        std::swap(descriptor_, other.descriptor_);
        std::swap(received_, other.received_);
        return isClosedByPeer_ = false, *this;
    }
    ~Socket() { close(); }

    bool isOpen() const { return descriptor_ >= 0; }
    // Whether bytes or the end of the connection arrive within kWaitTimeoutMs.
    bool awaitInput() const { return !received_.empty() || becomesReadable(descriptor_, kWaitTimeoutMs); }
    void close() {
        if (isOpen()) ::close(std::exchange(descriptor_, -1));
    }
    // Ends the sending direction only. Unlike after `close`, bytes that the peer still sends do not
    // reset the connection.
    void endSending() { shutdown(descriptor_, SHUT_WR); }
    void reset() {
        const linger noLinger{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
        close();
    }
    Socket& send(std::string_view text) {
        while (!text.empty()) {
            const auto sent = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) break;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return *this;
    }
    // Sends as many bytes as the socket's buffer takes at once, and returns their number.
    std::size_t sendWithoutBlocking(std::string_view text) {
        const auto sent = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }
    std::string readBytes(std::size_t count) {
        while (received_.size() < count && receiveMore()) {
        }
        return takeReceived(std::min(count, received_.size()));
    }
    // Reads a line and removes its terminator.
    std::string readLine(const std::string& terminator = "\r\n") {
        std::size_t end;
        while ((end = received_.find(terminator)) == std::string::npos)
            if (!receiveMore()) return takeReceived(received_.size());
        const std::string text = takeReceived(end);
        takeReceived(terminator.size());
        return text;
    }
    // Reads a response of a router: the content of a bulk string, or else a line.
    std::string readResponse() {
        const std::string head = readLine();
        if (head.empty() || head[0] != '$') return head;
        const std::string text = readBytes(std::stoul(head.substr(1)));
        readLine();
        return text;
    }
    // Reads a RESP command, that is, an array of bulk strings.
    std::vector<std::string> readCommand() {
        std::vector<std::string> words;
        const std::string head = readLine();
        if (head.empty() || head[0] != '*') return words;
        for (auto left = std::stoul(head.substr(1)); left > 0; --left) words.push_back(readResponse());
        return words;
    }
    // Reads the lines of an HTTP head, up to the empty line.
    std::vector<std::string> readHead() {
        std::vector<std::string> lines;
        for (std::string text = readLine(); !text.empty(); text = readLine()) lines.push_back(text);
        return lines;
    }
    // Reads until the peer closes or resets the connection, or sends nothing for kWaitTimeoutMs.
    bool isClosedByPeer() {
        while (receiveMore()) {
        }
        return isClosedByPeer_;
    }
    // The number of bytes that have arrived and that no function has read yet.
    std::size_t unreadBytes() const {
        int count = 0;
        return ioctl(descriptor_, FIONREAD, &count) == 0 ? static_cast<std::size_t>(count) : 0;
    }
    // Whether nothing arrives, not even the end of the connection, within the timeout.
    bool isQuiet(int timeoutMs) const {
        return received_.empty() && !becomesReadable(descriptor_, timeoutMs);
    }
    // Discards the bytes that have arrived, without waiting for more.
    void discardUnread() const {
        char buffer[16 * 1024];
        while (recv(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT) > 0) {
        }
    }

  private:
    // Waits for bytes and receives them. Returns false if there are none.
    bool receiveMore() {
        char buffer[16 * 1024];
        if (!isOpen() || !becomesReadable(descriptor_, kWaitTimeoutMs)) return false;
        const auto count = recv(descriptor_, buffer, sizeof buffer, 0);
        isClosedByPeer_ = count <= 0;
        if (count > 0) received_.append(buffer, static_cast<std::size_t>(count));
        return count > 0;
    }
    // Removes the first bytes of `received_` and returns them.
    std::string takeReceived(std::size_t count) {
        std::string text = received_.substr(0, count);
        received_.erase(0, count);
        return text;
    }

    int descriptor_;
    std::string received_;  // bytes that no function has returned yet
    bool isClosedByPeer_ = false;
};

// Waits until a connection to a server may get its next request after a response: none is sent while a second
// copy of that response could still arrive.
inline void awaitReuse() { usleep(100'000); }

// A listening socket that the router connects to: a cache server, the origin or discovery.
class TestServer {
  public:
    // `isOnAllAddresses`: listens on every loopback address; to the router each is another server.
    explicit TestServer(bool isOnAllAddresses = false)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        auto address = loopbackAddress(0);
        if (isOnAllAddresses) address.sin_addr.s_addr = htonl(INADDR_ANY);
        socklen_t size = sizeof address;
        if (bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            listen(descriptor_, 64) != 0 ||
            getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("can't listen on a loopback port");
        port = ntohs(address.sin_port);
    }
    TestServer(TestServer&& other) noexcept
        : port(other.port),
          descriptor_(std::exchange(other.descriptor_, -1)),
          backlogFiller_(std::exchange(other.backlogFiller_, -1)) {}
    ~TestServer() { close(); }
    void close() {
        if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
        if (backlogFiller_ >= 0) ::close(std::exchange(backlogFiller_, -1));
    }
    // Returns a socket that is not open if no connection arrives within kWaitTimeoutMs.
    Socket accept() {
        return Socket(becomesReadable(descriptor_, kWaitTimeoutMs) ? ::accept(descriptor_, nullptr, nullptr)
                                                                   : -1);
    }
    // Whether no connection arrives within the timeout.
    bool isQuiet(int timeoutMs) const { return !becomesReadable(descriptor_, timeoutMs); }
    // Leaves connection attempts without a response until `unblockConnects`: a connection of the
    // test's own fills the backlog. Blocked attempts then succeed when the kernel repeats them, the
    // first time one second after the attempt.
    void blockConnects() {
        listen(descriptor_, 0);
        const int filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopbackAddress(port);
        if (connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            throw std::runtime_error("can't fill the backlog of port " + std::to_string(port));
        backlogFiller_ = filler;
    }
    void unblockConnects() {
        listen(descriptor_, 64);
        ::close(::accept(descriptor_, nullptr, nullptr));
        ::close(std::exchange(backlogFiller_, -1));
    }
    int descriptor() const { return descriptor_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    std::uint16_t port = 0;

  private:
    int descriptor_;
    int backlogFiller_ = -1;  // the connection that fills the backlog; negative without one
};

// A port for a router. It stays bound, without listening, for the lifetime of this object, so that
// no other test gets it. The router binds to it as well (SO_REUSEADDR).
class ReservedPort {
  public:
    ReservedPort() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int yes = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        auto address = loopbackAddress(0);
        socklen_t size = sizeof address;
        if (bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("can't bind a loopback port for a router");
        port = ntohs(address.sin_port);
    }
    ~ReservedPort() { close(descriptor_); }
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;

    std::uint16_t port = 0;

  private:
    int descriptor_;
};

// The platform's configuration of a router, without its addresses and its endpoint list.
inline nlohmann::json minimalStartConfig() {
    return nlohmann::json::parse(
        R"({"name":"n0","seed":"07","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
        "settings":{"allowed":{"connIdleUs":15000000,"connectTimeoutUs":200000,"maxOpen":20000,"maxRelays":3,
        "maxRetryAfterUs":2000000,"retryAfter":true},"familyInfo":{"mode":"aside","originKind":1},
        "membershipMode":"on_request","orgs":[{"name":"north","quotaPerS":100.0}],"replicasOfMe":1,
        "rules":{"askWithinUs":10000000,"fallUs":1500000,"rampTimeUs":8900000,"startCapacity":0.3,
        "tipMultiple":4.0},"shapes":["m","origin"],"verbs":[
        {"effect":"free","keyTtlUs":0,"name":"read","responseGoalUs":500000,"timeLimitUs":2000000,"utility":1.0},
        {"effect":"guarded","group":"all","keyTtlUs":5000000,"name":"mark","responseGoalUs":500000,
        "timeLimitUs":2000000,"utility":1.0},
        {"effect":"single_shot","name":"pay","responseGoalUs":500000,"timeLimitUs":1000000,"utility":4.0}]}})");
}

// The entry of a server in an endpoint list.
inline nlohmann::json entryOf(std::string id, const TestServer& server, std::string kind = "m",
                              std::string state = "Ready", std::int64_t startedMs = 0) {
    return {{"id", id},  {"addr", server.address()}, {"zone", "a"},   {"kind", kind},
            {"cell", 0}, {"state", state},           {"weight", 1.0}, {"started_ms", startedMs}};
}

struct SpawnOptions {
    std::string log;  // file for standard error; empty: the test's standard error
    bool appendsToLog = false;
    int descriptor = -1;  // inherited as descriptor 4
    // NAME=VALUE, added to the test's environment or replacing its variable of that name.
    std::vector<std::string> environment;
};
// Uses posix_spawn, which runs no code of the test in the child: the test has threads, and a lock
// that one of them holds at a fork, for example the allocator's, would stay locked in the child.
inline pid_t spawnProgram(const char* path, std::vector<std::string> arguments, const SpawnOptions& options) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (options.descriptor >= 0) posix_spawn_file_actions_adddup2(&actions, options.descriptor, 4);
    const int mode = O_WRONLY | O_CREAT | (options.appendsToLog ? O_APPEND : O_TRUNC);
    if (!options.log.empty())
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, options.log.c_str(), mode, 0666);

    std::vector<std::string> variables = options.environment;
    for (char** variable = environ; *variable != nullptr; ++variable) {
        const std::string text = *variable;
        const std::string name = text.substr(0, text.find('=') + 1);
        const auto isReplaced = [&](const std::string& other) { return other.starts_with(name); };
        if (std::none_of(options.environment.begin(), options.environment.end(), isReplaced))
            variables.push_back(text);
    }
    std::vector<char*> argv, envp;
    for (std::string& argument : arguments) argv.push_back(argument.data());
    for (std::string& variable : variables) envp.push_back(variable.data());
    argv.push_back(nullptr);
    envp.push_back(nullptr);

    pid_t pid = -1;
    const int error = posix_spawn(&pid, path, &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error(std::string("can't start ") + path + ": " + std::strerror(error));
    return pid;
}

// A process of the program, with a folder for its files. The destructor kills it and removes the
// folder.
class Program {
  public:
    // `configuration`: the platform's configuration; empty: the operator's file contains everything.
    // `operatorFile`: content of the operator's file, in which {} stands for the folder; empty: none.
    // `passedSocket`: a listening socket that the process inherits as descriptor 4; negative: none.
    // `tempFolder`: TMPDIR of the process, for files that outlive it; empty: the test's.
    explicit Program(const std::string& configuration, std::string operatorFile = "", int passedSocket = -1,
                     std::string tempFolder = "")
        : passedSocket_(passedSocket), tempFolder_(std::move(tempFolder)) {
        char folder[] = "/tmp/poppyscale-test-XXXXXX";
        if (!mkdtemp(folder)) throw std::runtime_error("can't create a folder in /tmp for a configuration");
        folder_ = folder;
        std::ofstream(folder_ + "/config.json") << configuration;
        setenv("ROUTER_CONFIG", (folder_ + "/config.json").c_str(), 1);
        if (configuration.empty()) unsetenv("ROUTER_CONFIG");
        writeOperatorFile(operatorFile);
        start(!operatorFile.empty());
    }
    // Replaces the operator's file; {} stands for the folder.
    void writeOperatorFile(std::string text) const {
        for (auto at = text.find("{}"); at != std::string::npos; at = text.find("{}"))
            text.replace(at, 2, folder_);
        std::ofstream(folder_ + "/operator.toml") << text;
    }
    void start(bool hasOperatorFile) {
        SpawnOptions options;
        options.log = folder_ + "/log";
        options.descriptor = passedSocket_;
        if (passedSocket_ >= 0) options.environment.push_back("ROUTER_PASSED_SOCKET=4");
        if (!tempFolder_.empty()) options.environment.push_back("TMPDIR=" + tempFolder_);
        std::vector<std::string> arguments{"poppyscale"};
        if (hasOperatorFile)
            arguments = {POPPYSCALE_PROGRAM, "serve", "--operator", folder_ + "/operator.toml"};
        pid_ = spawnProgram(POPPYSCALE_PROGRAM, arguments, options);
    }
    const std::string& folder() const { return folder_; }
    std::string operatorSocketPath() const { return folder_ + "/admin.sock"; }
    pid_t pid() const { return pid_; }
    ~Program() {
        if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
        std::filesystem::remove_all(folder_);
    }
    void signal(int number) const { kill(pid_, number); }
    void writeConfig(const std::string& text) const { std::ofstream(folder_ + "/config.json") << text; }
    bool isRunning() const { return kill(pid_, 0) == 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
    // Waits for the process to end. Returns its exit code, or the negated number of the signal that
    // killed it.
    int exitCode() {
        int status = 0;
        waitpid(std::exchange(pid_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string log() const {
        std::ifstream file(folder_ + "/log");
        return {std::istreambuf_iterator<char>(file), {}};
    }
    // For the message of a failure: the command line, the state and the kernel function that the
    // process waits in.
    std::string state() const {
        std::string text;
        for (const char* name : {"cmdline", "stat", "wchan"}) {
            std::ifstream file("/proc/" + std::to_string(pid_) + "/" + name);
            std::string content{std::istreambuf_iterator<char>(file), {}};
            std::replace(content.begin(), content.end(), '\0', ' ');
            text += content + "; ";
        }
        return text;
    }
    std::size_t residentKiB() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        std::size_t pages = 0;
        file >> pages >> pages;
        return pages * 4;
    }

  private:
    std::string folder_;
    int passedSocket_;
    std::string tempFolder_;
    pid_t pid_ = -1;
};

// A router with cache servers c0, c1, ..., an origin and discovery, for which the test responds.
struct RouterFixture {
    // `operatorFile`: as of `Program`.
    explicit RouterFixture(std::size_t cacheCount = 1, nlohmann::json start = minimalStartConfig(),
                           const std::string& operatorFile = "")
        : caches(cacheCount), port(reservedPort.port), program(completeStartConfig(start), operatorFile) {
        for (int tries = 0; tries < 100 && client().send("*1\r\n$4\r\nPING\r\n").readLine() != "+PONG";
             ++tries)
            usleep(50'000);
    }
    Socket client() const { return Socket(port); }
    // Adds the addresses and the endpoint list to the configuration, and returns its text.
    std::string completeStartConfig(nlohmann::json& start) const {
        start["listen"] = "127.0.0.1:" + std::to_string(port);
        start["discovery"] = discovery.address();
        start["known"] = {{"version", 7}, {"full", true}, {"servers", {entryOf("origin", origin, "origin")}}};
        for (std::size_t i = 0; i < caches.size(); ++i)
            start["known"]["servers"].push_back(entryOf("c" + std::to_string(i), caches[i]));
        return start.dump();
    }

    TestServer discovery;
    TestServer origin;
    std::vector<TestServer> caches;
    ReservedPort reservedPort;
    std::uint16_t port;
    Program program;
};

// A RESP command.
inline std::string array(const std::vector<std::string>& words) {
    std::string text = "*" + std::to_string(words.size()) + "\r\n";
    for (const auto& word : words) text += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return text;
}
inline std::string get(const std::string& key, const std::string& info = "c=read,t=north,d=1500") {
    return array({"OBJ.GET", key, "9b1f-" + key, info});
}
inline std::string set(const std::string& key, const std::string& info, const std::string& value = "V") {
    return array({"OBJ.SET", key, "9b1f-" + key, info, value});
}
// Responses of a cache server: the value is in the cache, or is not.
inline std::string hit(const std::string& value) {
    return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n";
}
constexpr std::string_view kMiss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
// An HTTP response of the origin or of discovery.
inline std::string http(int status, const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

}  // namespace poppyscale::test
