// Fixtures of the tests: sockets, servers and the programs, each with one bound on every wait.
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

constexpr int kSoon = 5'000;  // ms: what must happen has happened by then, sanitizers and all

inline bool readable(int descriptor, int within) {
    pollfd p{descriptor, POLLIN, 0};
    return poll(&p, 1, within) == 1;
}

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

// One end of a connection; what doesn't come soon reads as nothing.
class Socket {
  public:
    explicit Socket(int descriptor) : descriptor_(descriptor) {}
    explicit Socket(std::uint16_t port) : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const auto at = loopback(port);
        if (connect(descriptor_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) hangUp();
    }
    Socket(Socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)), in_(std::move(other.in_)) {}
    Socket& operator=(Socket&& other) noexcept {
        std::swap(descriptor_, other.descriptor_);
        std::swap(in_, other.in_);
        return ended_ = false, *this;
    }
    ~Socket() { hangUp(); }

    bool open() const { return descriptor_ >= 0; }
    void hangUp() {
        if (open()) close(std::exchange(descriptor_, -1));
    }
    // The end alone: nothing is reset yet by what the other side still sends.
    void endSending() { shutdown(descriptor_, SHUT_WR); }
    void reset() {
        const linger now{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        hangUp();
    }
    Socket& say(std::string_view text) {
        while (!text.empty()) {
            const auto sent = send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) break;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return *this;
    }
    // Without waiting for the other side: how many bytes fit.
    std::size_t cram(std::string_view text) {
        const auto sent = send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }
    std::string bytes(std::size_t count) {
        while (in_.size() < count && more()) {
        }
        return cut(std::min(count, in_.size()));
    }
    std::string line(const std::string& ends = "\r\n") {
        std::size_t end;
        while ((end = in_.find(ends)) == std::string::npos)
            if (!more()) return cut(in_.size());
        const std::string text = cut(end);
        cut(ends.size());
        return text;
    }
    // An answer of a router: a line, or what a bulk string holds.
    std::string answer() {
        const std::string head = line();
        if (head.empty() || head[0] != '$') return head;
        const std::string text = bytes(std::stoul(head.substr(1)));
        line();
        return text;
    }
    std::vector<std::string> command() {
        std::vector<std::string> words;
        const std::string head = line();
        if (head.empty() || head[0] != '*') return words;
        for (auto left = std::stoul(head.substr(1)); left > 0; --left) words.push_back(answer());
        return words;
    }
    // The lines of an HTTP head, up to the empty one.
    std::vector<std::string> head() {
        std::vector<std::string> lines;
        for (std::string text = line(); !text.empty(); text = line()) lines.push_back(text);
        return lines;
    }
    bool ended() {
        while (more()) {
        }
        return ended_;
    }
    std::size_t waits() const {
        int count = 0;
        return ioctl(descriptor_, FIONREAD, &count) == 0 ? static_cast<std::size_t>(count) : 0;
    }
    bool quiet(int within) const { return in_.empty() && !readable(descriptor_, within); }
    void drain() const {
        char buffer[16 * 1024];
        while (recv(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT) > 0) {
        }
    }

  private:
    bool more() {
        char buffer[16 * 1024];
        if (!open() || !readable(descriptor_, kSoon)) return false;
        const auto got = recv(descriptor_, buffer, sizeof buffer, 0);
        ended_ = got <= 0;
        if (got > 0) in_.append(buffer, static_cast<std::size_t>(got));
        return got > 0;
    }
    std::string cut(std::size_t count) {
        std::string text = in_.substr(0, count);
        in_.erase(0, count);
        return text;
    }

    int descriptor_;
    std::string in_;
    bool ended_ = false;
};

// A cache, the origin or discovery: where the router connects to.
class TestServer {
  public:
    // `everywhere`: at all addresses of loopback, each a server of its own to the router.
    explicit TestServer(bool everywhere = false)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        auto at = loopback(0);
        if (everywhere) at.sin_addr.s_addr = htonl(INADDR_ANY);
        socklen_t size = sizeof at;
        if (bind(descriptor_, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(descriptor_, 64) != 0 ||
            getsockname(descriptor_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
            throw std::runtime_error("no port to listen on");
        port = ntohs(at.sin_port);
    }
    TestServer(TestServer&& other) noexcept
        : port(other.port),
          descriptor_(std::exchange(other.descriptor_, -1)),
          filler_(std::exchange(other.filler_, -1)) {}
    ~TestServer() { shut(); }
    void shut() {
        if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
        if (filler_ >= 0) close(std::exchange(filler_, -1));
    }
    Socket accept() {
        return Socket(readable(descriptor_, kSoon) ? ::accept(descriptor_, nullptr, nullptr) : -1);
    }
    bool quiet(int within) const { return !readable(descriptor_, within); }
    // Until it lets them, who connects gets no answer; then with a next try of the kernel, a second after the
    // first.
    void hold() {
        listen(descriptor_, 0);
        const int filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = loopback(port);
        if (connect(filler, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
            throw std::runtime_error("nothing to fill a door with");
        filler_ = filler;
    }
    void let() {
        listen(descriptor_, 64);
        close(::accept(descriptor_, nullptr, nullptr));
        close(std::exchange(filler_, -1));
    }
    int descriptor() const { return descriptor_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    std::uint16_t port = 0;

  private:
    int descriptor_;
    int filler_ = -1;
};

// A port for a router: bound for as long as this lives and never listened on, so that no other test is given
// it before the router takes it, which binds beside this.
class ReservedPort {
  public:
    ReservedPort() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int yes = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        auto at = loopback(0);
        socklen_t size = sizeof at;
        if (bind(descriptor_, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
            getsockname(descriptor_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
            throw std::runtime_error("no port for a router");
        port = ntohs(at.sin_port);
    }
    ~ReservedPort() { close(descriptor_); }
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;

    std::uint16_t port = 0;

  private:
    int descriptor_;
};

// What a router is started with, but for its addresses and its list.
inline nlohmann::json smallStart() {
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

inline nlohmann::json entryOf(std::string id, const TestServer& door, std::string kind = "m",
                              std::string state = "Ready", std::int64_t startedMs = 0) {
    return {{"id", id},  {"addr", door.address()}, {"zone", "a"},   {"kind", kind},
            {"cell", 0}, {"state", state},         {"weight", 1.0}, {"started_ms", startedMs}};
}

// Starts a program without running any code of ours in the child: tests have threads, and a lock that one of
// them holds at a fork (the allocator's, say) stays held in the child for ever.
struct SpawnOptions {
    std::string log;  // for standard error; empty: that of the test
    bool appendsToLog = false;
    int descriptor = -1;                   // inherited as descriptor 4
    std::vector<std::string> environment;  // NAME=VALUE, beside the test's own or in place of it
};
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

// The program, started with what is given and ended with the test.
class Program {
  public:
    // With an operator's file, its {} is the folder; without a configuration the file has to say all.
    // `passed` is a listening socket that it inherits as descriptor 4, `tmp` its folder for what outlives it.
    explicit Program(const std::string& configuration, std::string operatorFile = "", int passed = -1,
                     std::string tmp = "")
        : passed_(passed), tmp_(std::move(tmp)) {
        char folder[] = "/tmp/poppyscale-test-XXXXXX";
        if (!mkdtemp(folder)) throw std::runtime_error("no folder for a configuration");
        folder_ = folder;
        std::ofstream(folder_ + "/config.json") << configuration;
        setenv("ROUTER_CONFIG", (folder_ + "/config.json").c_str(), 1);
        if (configuration.empty()) unsetenv("ROUTER_CONFIG");
        operate(operatorFile);
        start(!operatorFile.empty());
    }
    void operate(std::string text) const {
        for (auto at = text.find("{}"); at != std::string::npos; at = text.find("{}"))
            text.replace(at, 2, folder_);
        std::ofstream(folder_ + "/operator.toml") << text;
    }
    void start(bool withOperator) {
        SpawnOptions options;
        options.log = folder_ + "/log";
        options.descriptor = passed_;
        if (passed_ >= 0) options.environment.push_back("ROUTER_PASSED_SOCKET=4");
        if (!tmp_.empty()) options.environment.push_back("TMPDIR=" + tmp_);
        std::vector<std::string> arguments{"poppyscale"};
        if (withOperator) arguments = {POPPYSCALE_PROGRAM, "serve", "--operator", folder_ + "/operator.toml"};
        pid_ = spawnProgram(POPPYSCALE_PROGRAM, arguments, options);
    }
    const std::string& folder() const { return folder_; }
    std::string door() const { return folder_ + "/admin.sock"; }
    pid_t pid() const { return pid_; }
    ~Program() {
        if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
        std::filesystem::remove_all(folder_);
    }
    void signal(int number) const { kill(pid_, number); }
    void configure(const std::string& text) const { std::ofstream(folder_ + "/config.json") << text; }
    bool running() const { return kill(pid_, 0) == 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
    // The exit code, or what killed it as a negative number.
    int exitCode() {
        int status = 0;
        waitpid(std::exchange(pid_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string log() const {
        std::ifstream file(folder_ + "/log");
        return {std::istreambuf_iterator<char>(file), {}};
    }
    // What the process is doing, for a failure's message: its command line, state and the kernel function
    // that it waits in.
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
    int passed_;
    std::string tmp_;
    pid_t pid_ = -1;
};

// A router with caches c0, c1 ..., an origin and discovery, all of them played by the test.
struct Stage {
    explicit Stage(std::size_t count = 1, nlohmann::json start = smallStart())
        : caches(count), port(place.port), program(startOf(start)) {
        for (int tries = 0; tries < 100 && client().say("*1\r\n$4\r\nPING\r\n").line() != "+PONG"; ++tries)
            usleep(50'000);
    }
    Socket client() const { return Socket(port); }
    std::string startOf(nlohmann::json& start) const {
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
    ReservedPort place;
    std::uint16_t port;
    Program program;
};

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
inline std::string hit(const std::string& value) {
    return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n";
}
constexpr std::string_view kMiss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
inline std::string http(int status, const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

}  // namespace poppyscale::test
