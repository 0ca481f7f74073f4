// Stand-ins for clients, cache servers, origin and discovery, and a router started as the deploy file says. Written
// for the cases 6 to 10 from the operators' pages; uses the C and C++ libraries alone. All addresses are 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct CouldNotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};
// The peer closed or reset the connection, or sent nothing until the time was up.
struct PeerGone : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Seconds since the start of the case.
inline double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleepFor(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
// Makes a stand-in that lives until the process ends, since threads that are not joined use it.
template <class T, class... Arguments>
T& keep(Arguments&&... arguments) {
    return *new T(std::forward<Arguments>(arguments)...);
}
inline bool hasTrouble() {
    const char* const trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

// ---- The record: a line for each thing that was sent, answered or run.

class Record {
  public:
    static Record& get() {
        static Record record;
        return record;
    }
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%9.3f  %s\n", now(), text);
        std::fflush(file_);
    }

  private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};
#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

// ---- Sockets

class Socket {
  public:
    explicit Socket(int fd = -1) : fd_(fd) {}
    Socket(Socket&& other) noexcept : fd_(other.fd_), input_(std::move(other.input_)), timeout_(other.timeout_) {
        other.fd_ = -1;
    }
    Socket& operator=(Socket&& other) noexcept {
        close();
        fd_ = std::exchange(other.fd_, -1);
        input_ = std::move(other.input_);
        timeout_ = other.timeout_;
        return *this;
    }
    ~Socket() { close(); }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    int fd() const { return fd_; }
    bool isOpen() const { return fd_ >= 0; }
    // The longest wait for the next bytes, in seconds.
    void setTimeout(double seconds) { timeout_ = seconds; }

    void send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) throw PeerGone("closed while sending");
            sent += static_cast<std::size_t>(n);
        }
    }
    std::string line() {
        for (;;) {
            const auto end = input_.find("\r\n");
            if (end != std::string::npos) {
                std::string text = input_.substr(0, end);
                input_.erase(0, end + 2);
                return text;
            }
            more();
        }
    }
    std::string bytes(std::size_t size) {
        while (input_.size() < size) more();
        std::string text = input_.substr(0, size);
        input_.erase(0, size);
        return text;
    }
    // Reads at most `size` bytes, whatever has arrived.
    std::string some(std::size_t size) {
        if (input_.empty()) more(size);
        std::string text = input_.substr(0, size);
        input_.erase(0, text.size());
        return text;
    }
    // Waits until the peer ends the connection, and drops what it sends until then.
    void awaitClose() {
        try {
            for (;;) some(65536);
        } catch (const PeerGone&) {
        }
    }

  private:
    void more(std::size_t size = 65536) {
        pollfd polled{fd_, POLLIN, 0};
        const int ready = ::poll(&polled, 1, static_cast<int>(timeout_ * 1000));
        if (ready == 0) throw PeerGone("nothing came in time");
        std::string part(size, '\0');
        const ssize_t n = ::recv(fd_, part.data(), part.size(), 0);
        if (n == 0) throw PeerGone("closed");
        if (n < 0) throw PeerGone("reset");
        input_.append(part, 0, static_cast<std::size_t>(n));
    }
    int fd_;
    std::string input_;
    double timeout_ = 100;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
inline std::string addressOf(int port) { return "127.0.0.1:" + std::to_string(port); }
inline int portOf(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}
inline int listenAnywhere() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0)
        throw CouldNotRun("can't listen on 127.0.0.1");
    return fd;
}
// A port that was free a moment ago, below those that the system gives to outgoing connections.
inline int freePort() {
    static int next = 10'000 + static_cast<int>(::getpid() % 20'000);
    for (int tries = 0; tries < 1'000; ++tries) {
        next = next >= 31'000 ? 10'000 : next + 1;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(next);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree) return next;
    }
    throw CouldNotRun("no free port");
}
// `prepare` may set socket options before the connection is made.
inline Socket connectTo(int port, const std::function<void(int)>& prepare = {}) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare) prepare(fd);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (fd >= 0) ::close(fd);
        throw PeerGone("can't connect");
    }
    return Socket(fd);
}

// Accepts connections and runs `serve` for each on a thread of its own. Lives until the process ends.
class Server {
  public:
    // `prepare` may set socket options, which accepted connections inherit.
    explicit Server(std::function<void(Socket&)> serve, const std::function<void(int)>& prepare = {})
        : fd_(listenAnywhere()), port_(portOf(fd_)) {
        if (prepare) prepare(fd_);
        std::thread([fd = fd_, serve = std::move(serve)] {
            for (;;) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) return;
                const int on = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, serve] {
                    Socket socket(accepted);
                    try {
                        serve(socket);
                    } catch (const std::exception&) {
                    }
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }

  private:
    int fd_;
    int port_;
};

// ---- RESP2 and HTTP

inline std::string bulk(const std::string& text) { return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n"; }
inline std::string command(const std::vector<std::string>& items) {
    std::string bytes = "*" + std::to_string(items.size()) + "\r\n";
    for (const std::string& item : items) bytes += bulk(item);
    return bytes;
}
// A command, as a cache server reads it.
inline std::vector<std::string> readCommand(Socket& socket) {
    const std::string head = socket.line();
    if (head.empty() || head[0] != '*') throw PeerGone("not a command");
    std::vector<std::string> items;
    for (long left = std::atol(head.c_str() + 1); left > 0; --left) {
        const std::string length = socket.line();
        if (length.empty() || length[0] != '$') throw PeerGone("not a bulk string");
        std::string item = socket.bytes(static_cast<std::size_t>(std::atol(length.c_str() + 1)) + 2);
        item.resize(item.size() - 2);
        items.push_back(std::move(item));
    }
    return items;
}
// What a router answered: a value, or the line of an error.
struct Answer {
    bool isValue = false;
    std::string text;
    bool isBusy() const { return !isValue && text.rfind("-BUSY", 0) == 0; }
    std::string shown() const {
        return isValue ? "a value of " + std::to_string(text.size()) + " bytes" : text.substr(0, 120);
    }
};
inline Answer readAnswer(Socket& socket) {
    const std::string head = socket.line();
    if (head.empty() || head[0] != '$') return {false, head};
    std::string value = socket.bytes(static_cast<std::size_t>(std::atol(head.c_str() + 1)) + 2);
    value.resize(value.size() - 2);
    return {true, std::move(value)};
}
// A cache server's answer: the value, how it went, no load report.
inline std::string hit(const std::string& value) { return "*3\r\n" + bulk(value) + "$3\r\nhit\r\n$-1\r\n"; }

struct HttpRequest {
    std::string method, target;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
};
inline HttpRequest readHttp(Socket& socket) {
    HttpRequest request;
    const std::string first = socket.line();
    const auto space = first.find(' ');
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    for (std::string line = socket.line(); !line.empty(); line = socket.line()) {
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        request.headers[name] = line.substr(line.find_first_not_of(' ', colon + 1));
    }
    if (request.headers.contains("content-length"))
        request.body = socket.bytes(std::stoul(request.headers["content-length"]));
    return request;
}
inline std::string httpOk(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
// The value of one name in a list `c=read,t=acme,d=480`.
inline std::string infoItem(const std::string& info, const std::string& name) {
    const std::string text = "," + info + ",";
    const auto at = text.find("," + name + "=");
    if (at == std::string::npos) return "";
    const auto begin = at + name.size() + 2;
    return text.substr(begin, text.find(',', begin) - begin);
}

// ---- Discovery

struct Entry {
    std::string id;
    int port = 0;
    std::string kind = "type-a";
    std::string state = "Ready";
    long long startedMs = 0;
};

class Discovery {
  public:
    explicit Discovery(std::vector<Entry> entries)
        : entries_(std::move(entries)), server_([this](Socket& socket) { serve(socket); }) {
        for (const Entry& entry : entries_) changedIn_[entry.id] = 1;
    }
    int port() const { return server_.port(); }
    // Changes one entry and tells it to all watches.
    void change(const std::string& id, const std::function<void(Entry&)>& edit) {
        const std::lock_guard lock(mutex_);
        ++version_;
        for (Entry& entry : entries_)
            if (entry.id == id) edit(entry);
        changedIn_[id] = version_;
        changed_.notify_all();
    }
    // The whole list, in the form of the configuration's `known` and of an answer.
    std::string list() {
        const std::lock_guard lock(mutex_);
        return text(0, true);
    }

  private:
    std::string text(long after, bool isFull) const {
        std::string servers;
        for (const Entry& entry : entries_) {
            if (!isFull && changedIn_.at(entry.id) <= after) continue;
            if (!servers.empty()) servers += ',';
            servers += "{\"id\":\"" + entry.id + "\",\"addr\":\"" + addressOf(entry.port) +
                       "\",\"zone\":\"lulea\",\"kind\":\"" + entry.kind + "\",\"cell\":0,\"state\":\"" + entry.state +
                       "\",\"weight\":1.0,\"started_ms\":" + std::to_string(entry.startedMs) + "}";
        }
        return "{\"version\":" + std::to_string(version_) + ",\"full\":" + (isFull ? "true" : "false") +
               ",\"servers\":[" + servers + "]}";
    }
    void serve(Socket& socket) {
        for (;;) {
            const HttpRequest request = readHttp(socket);
            std::string body;
            {
                std::unique_lock lock(mutex_);
                const auto after = request.target.find("after=");
                const auto wait = request.target.find("wait_ms=");
                if (after == std::string::npos) {
                    body = text(0, true);
                } else {
                    const long known = std::atol(request.target.c_str() + after + 6);
                    const long waitMs = wait == std::string::npos ? 0 : std::atol(request.target.c_str() + wait + 8);
                    changed_.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return version_ > known; });
                    body = text(known, false);
                }
            }
            socket.send(httpOk(body));
        }
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    long version_ = 1;
    std::vector<Entry> entries_;
    std::map<std::string, long> changedIn_;
    Server server_;
};

// ---- Routers

// The settings of a deployment, with the names of the operators' wire page.
struct Settings {
    int routers = 1;
    std::string mode = "aside";  // or "through"
    int memoryMb = 64;
    int sockets = 512;
    long connectTimeoutMs = 200;
    long drainGraceMs = 500;
    double tipMultiple = 4;
    double startCapacity = 0.3;
    long rampMs = 8'900;
    long fallMs = 1'500;
    // The request classes, as JSON objects separated by commas.
    std::string verbs;
};

inline std::string verb(const std::string& name, const std::string& effect, long goalMs, long limitMs, int utility,
                        long keyTtlMs = 5'000) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"keyTtlUs\":" +
           std::to_string(keyTtlMs * 1000) + ",\"responseGoalUs\":" + std::to_string(goalMs * 1000) +
           ",\"timeLimitUs\":" + std::to_string(limitMs * 1000) + ",\"utility\":" + std::to_string(utility) +
           ",\"lateUtility\":0.3,\"stream\":false}";
}
// The three classes of Solandel Energi AB.
inline std::string solandelVerbs() {
    return verb("statement-read", "free", 500, 2'000, 1) + "," + verb("meter-upload", "guarded", 600, 2'500, 3) + "," +
           verb("credit-payout", "single_shot", 750, 1'500, 8);
}

// The command `run` of the deploy file, in the folder that `REVIEW_ROOT` names.
inline std::string rootFolder() {
    const char* const root = std::getenv("REVIEW_ROOT");
    if (!root) throw CouldNotRun("REVIEW_ROOT is not set; start the case by its run.sh");
    return root;
}
inline std::string deployCommand(const std::string& key) {
    std::ifstream file(rootFolder() + "/deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(key + " = \"", 0) != 0) continue;
        const auto begin = line.find('"') + 1;
        return line.substr(begin, line.find('"', begin) - begin);
    }
    throw CouldNotRun("the deploy file has no key " + key);
}

// The folder for the files of the case, which run.sh makes and removes.
inline std::string temporaryFolder() {
    const char* const folder = std::getenv("REVIEW_TEMPORARY");
    if (!folder) throw CouldNotRun("REVIEW_TEMPORARY is not set; start the case by its run.sh");
    return folder;
}

// One router process, started by `/bin/sh -c` from the root with its own empty $TMPDIR.
class Router {
  public:
    Router(const std::string& name, const Settings& settings, Discovery& discovery, bool hasConsole = false)
        : name_(name), port_(freePort()), consolePort_(hasConsole ? freePort() : 0) {
        const std::string folder = temporaryFolder() + "/" + name;
        std::filesystem::create_directories(folder + "/tmp");
        const std::string config = folder + "/config.json";
        std::ofstream(config) << configuration(settings, discovery);
        const std::string run = deployCommand("run");
        const std::string log = folder + "/log";
        pid_ = ::fork();
        if (pid_ < 0) throw CouldNotRun("can't start a process");
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // however the case ends, the router does not outlive it
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("ROUTER_NAME", name.c_str(), 1);
            ::setenv("ROUTER_LISTEN", addressOf(port_).c_str(), 1);
            ::setenv("ROUTER_DISCOVERY", addressOf(discovery.port()).c_str(), 1);
            ::setenv("ROUTER_CONFIG", config.c_str(), 1);
            ::setenv("TMPDIR", (folder + "/tmp").c_str(), 1);
            if (::chdir(rootFolder().c_str()) != 0) ::_exit(127);
            ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        started().push_back(pid_);
        RECORD("router %s: started on %s as process %d", name.c_str(), addressOf(port_).c_str(), static_cast<int>(pid_));
    }
    Router(const Router&) = delete;
    // Ends all routers of this case.
    static void endAll() {
        for (const pid_t pid : started()) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        started().clear();
    }

    int port() const { return port_; }
    const std::string& name() const { return name_; }
    // Waits until the router answers PING with PONG.
    void awaitReady() {
        for (const double end = now() + 30; now() < end; sleepFor(0.02)) {
            try {
                Socket socket = connectTo(port_);
                socket.setTimeout(1);
                socket.send(command({"PING"}));
                if (socket.line() == "+PONG") return;
            } catch (const PeerGone&) {
            }
        }
        throw CouldNotRun("router " + name_ + " does not answer PING");
    }
    // One call at the operators' door.
    std::string call(const std::string& line) {
        Socket socket = connectTo(consolePort_);
        socket.setTimeout(1);
        socket.send(line + "\n");
        std::string answer;
        try {
            while (answer.find('\n') == std::string::npos) answer += socket.some(4096);
        } catch (const PeerGone&) {
        }
        while (!answer.empty() && answer.back() == '\n') answer.pop_back();
        return answer;
    }
    bool isRunning() const { return ::kill(pid_, 0) == 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }

  private:
    static std::vector<pid_t>& started() {
        static std::vector<pid_t> pids;
        return pids;
    }
    std::string configuration(const Settings& s, Discovery& discovery) const {
        const auto us = [](long ms) { return std::to_string(ms * 1000); };
        std::string text = "{\"name\":\"" + name_ + "\",\"listen\":\"" + addressOf(port_) + "\",";
        if (consolePort_) text += "\"console\":\"" + addressOf(consolePort_) + "\",";
        text += "\"discovery\":\"" + addressOf(discovery.port()) + "\",\"seed\":\"" +
                std::to_string(1000 + std::hash<std::string>{}(name_) % 1'000'000) + "\",\"limits\":{\"cores\":1.0," +
                "\"memory_mb\":" + std::to_string(s.memoryMb) + ",\"sockets\":" + std::to_string(s.sockets) +
                "},\"known\":" + discovery.list() + ",\"settings\":{\"replicasOfMe\":" + std::to_string(s.routers) +
                ",\"membershipMode\":\"on_request\",\"family\":\"cache\",\"shapes\":[\"type-a\",\"origin\"]," +
                "\"familyInfo\":{\"mode\":\"" + s.mode + "\",\"originKind\":" + (s.mode == "aside" ? "1" : "-1") +
                ",\"originFallMultiple\":2.5,\"originFallUs\":3000000},\"allowed\":{\"cancel\":true," +
                "\"connIdleUs\":15000000,\"connectTimeoutUs\":" + us(s.connectTimeoutMs) + ",\"maxOpen\":20000," +
                "\"maxRelays\":3,\"maxRetryAfterUs\":1500000,\"peerMessages\":false,\"probes\":true," +
                "\"retryAfter\":true,\"secondCopies\":false,\"streamsPerConn\":100},\"rules\":{" +
                "\"answerSlackUs\":50000,\"askWithinUs\":10000000,\"drainGraceUs\":" + us(s.drainGraceMs) +
                ",\"fallUs\":" + us(s.fallMs) + ",\"rampTimeUs\":" + us(s.rampMs) + ",\"startCapacity\":" +
                std::to_string(s.startCapacity) + ",\"tipMultiple\":" + std::to_string(s.tipMultiple) +
                "},\"costs\":{\"crossZone\":0.0},\"myZone\":\"lulea\",\"failureDomains\":[\"lulea\"],\"orgs\":[]," +
                "\"weights\":\"nominal\",\"utilityPer\":\"request\",\"beyondShareUtility\":0.05,\"verbs\":[" + s.verbs +
                "]}}";
        return text;
    }
    std::string name_;
    int port_;
    int consolePort_;
    pid_t pid_ = -1;
};

// ---- The frame of a case

// Runs `body`, which returns one of the exit codes. Then ends all routers and this process, and so all threads of the
// stand-ins; after 115 s in any case.
inline int runCase(int argc, char** argv, const std::function<int()>& body) {
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGALRM, [](int) { ::_exit(kCouldNotRun); });
    ::alarm(115);
    now();
    Record::get().open(argc > 1 ? argv[1] : "record.txt");
    int code = kCouldNotRun;
    try {
        RECORD("TROUBLE is %s", hasTrouble() ? "on" : "off");
        code = body();
    } catch (const std::exception& problem) {
        RECORD("could not run: %s", problem.what());
        std::fprintf(stderr, "could not run: %s\n", problem.what());
    }
    const char* const verdict = code == kBroken ? "the rule was broken" : code == kHeld ? "the rule held" : "no verdict";
    RECORD("verdict: %s (exit code %d)", verdict, code);
    std::printf("%s\n", verdict);
    std::fflush(stdout);
    Router::endAll();
    ::_exit(code);
}

}  // namespace review
