// Stand-ins for clients, cache servers, the origin, discovery and the network, for the cases of this review.
// Blocking sockets, one thread for each connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();
inline double nowMs() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

// The exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// ---- The record

class Record {
  public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (!file_) std::exit(kCouldNotRun);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%10.2f ms  ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
    }
    // As `line`, and on standard output.
    void say(const std::string& text) {
        line("%s", text.c_str());
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }
    void flush() {
        const std::lock_guard lock(mutex_);
        std::fflush(file_);
    }

  private:
    std::FILE* file_;
    std::mutex mutex_;
};

[[noreturn]] inline void finish(Record& record, int code) {
    record.flush();
    std::fflush(stdout);
    ::_exit(code);
}

// ---- Sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline int portOf(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline int bindFree() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        std::exit(kCouldNotRun);
    return descriptor;
}

// A port that was free a moment ago, for the router.
inline int freePort() {
    const int descriptor = bindFree();
    const int port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

// A connection with a read buffer. Functions return false at the end of the stream, on errors and time-outs.
class Stream {
  public:
    explicit Stream(int descriptor) : descriptor_(descriptor) {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    static int connect(int port) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return descriptor;
        ::close(descriptor);
        return -1;
    }

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Whether nothing has arrived within `ms`, neither bytes nor the end of the stream.
    bool staysQuiet(double ms) {
        if (at_ < buffer_.size()) return false;
        const double until = nowMs() + ms;
        for (double left = ms; left > 0; left = until - nowMs()) {
            pollfd polled{descriptor_, POLLIN | POLLRDHUP, 0};
            const timespec wait{0, static_cast<long>(left * 1e6)};
            if (::ppoll(&polled, 1, &wait, nullptr) != 0) return false;
        }
        return true;
    }
    bool readLine(std::string& line, double timeoutMs = 60'000) {
        line.clear();
        const double until = nowMs() + timeoutMs;
        while (true) {
            const auto end = buffer_.find('\n', at_);
            if (end != std::string::npos) {
                line = buffer_.substr(at_, end - at_);
                if (!line.empty() && line.back() == '\r') line.pop_back();
                at_ = end + 1;
                return true;
            }
            if (!fill(until)) return false;
        }
    }
    bool readBytes(std::size_t size, std::string& bytes, double timeoutMs = 60'000) {
        const double until = nowMs() + timeoutMs;
        while (buffer_.size() - at_ < size)
            if (!fill(until)) return false;
        bytes = buffer_.substr(at_, size);
        at_ += size;
        return true;
    }
    std::size_t bufferedBytes() const { return buffer_.size() - at_; }
    bool isTimedOut() const { return isTimedOut_; }
    // Closes with a reset, as the end of a process or a broken connection does.
    void reset() {
        const linger now{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close() {
        if (descriptor_ >= 0) ::close(descriptor_);
        descriptor_ = -1;
    }
    int descriptor() const { return descriptor_; }

  private:
    bool fill(double until) {
        if (at_ > 0) {
            buffer_.erase(0, at_);
            at_ = 0;
        }
        const double left = until - nowMs();
        pollfd polled{descriptor_, POLLIN, 0};
        isTimedOut_ = left <= 0 || ::poll(&polled, 1, static_cast<int>(left) + 1) == 0;
        if (isTimedOut_) return false;
        char part[64 * 1024];
        const auto count = ::recv(descriptor_, part, sizeof part, 0);
        if (count <= 0) return false;
        buffer_.append(part, static_cast<std::size_t>(count));
        return true;
    }
    int descriptor_;
    std::string buffer_;
    std::size_t at_ = 0;
    bool isTimedOut_ = false;
};

// Accepts on a free loopback port; each connection is handled in a thread of its own.
class Server {
  public:
    using Handler = std::function<void(Stream&)>;
    explicit Server(Handler handler) : listener_(bindFree()), port_(portOf(listener_)) {
        ::listen(listener_, 512);
        std::thread([listener = listener_, handler = std::move(handler)] {
            while (true) {
                const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) continue;
                std::thread([accepted, handler] {
                    Stream stream(accepted);
                    handler(stream);
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }

  private:
    int listener_;
    int port_;
};

// A network path that takes `oneWayMs` in each direction. Passes on the end of a stream and a reset.
class Path {
  public:
    Path(int target, double oneWayMs)
        : server_([target, oneWayMs](Stream& near) {
              const int connected = Stream::connect(target);
              if (connected < 0) return near.reset();
              Stream far(connected);
              std::thread back([&] { pass(far, near, oneWayMs); });
              pass(near, far, oneWayMs);
              back.join();
          }) {}
    int port() const { return server_.port(); }

  private:
    struct Chunk {
        double due;
        std::string bytes;  // empty at the end of the stream
    };
    static void pass(Stream& from, Stream& to, double oneWayMs) {
        std::deque<Chunk> chunks;
        std::mutex mutex;
        std::condition_variable changed;
        std::thread reading([&] {
            char part[64 * 1024];
            while (true) {
                const auto count = ::recv(from.descriptor(), part, sizeof part, 0);
                const std::lock_guard lock(mutex);
                chunks.push_back({nowMs() + oneWayMs,
                                  count > 0 ? std::string(part, static_cast<std::size_t>(count)) : ""});
                changed.notify_one();
                if (count <= 0) return;
            }
        });
        while (true) {
            Chunk chunk;
            {
                std::unique_lock lock(mutex);
                changed.wait(lock, [&] { return !chunks.empty(); });
                chunk = std::move(chunks.front());
                chunks.pop_front();
            }
            const double wait = chunk.due - nowMs();
            if (wait > 0) sleepMs(wait);
            if (chunk.bytes.empty()) break;
            if (!to.send(chunk.bytes)) {
                ::shutdown(from.descriptor(), SHUT_RD);
                break;
            }
        }
        ::shutdown(to.descriptor(), SHUT_WR);
        reading.join();
    }
    Server server_;
};

// ---- Protocols

inline std::string bulk(const std::string& text) {
    return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}
inline std::string command(const std::vector<std::string>& arguments) {
    std::string bytes = "*" + std::to_string(arguments.size()) + "\r\n";
    for (const std::string& argument : arguments) bytes += bulk(argument);
    return bytes;
}
inline bool readCommand(Stream& stream, std::vector<std::string>& arguments) {
    arguments.clear();
    std::string line;
    if (!stream.readLine(line, 3'600'000) || line.size() < 2 || line[0] != '*') return false;
    for (int left = std::atoi(line.c_str() + 1); left > 0; --left) {
        std::string text;
        if (!stream.readLine(line) || line.empty() || line[0] != '$') return false;
        const auto size = static_cast<std::size_t>(std::atol(line.c_str() + 1));
        if (!stream.readBytes(size + 2, text)) return false;
        arguments.push_back(text.substr(0, size));
    }
    return true;
}

// What a client is answered.
struct Answer {
    enum class Kind { value, refused, failed, none } kind = Kind::none;
    std::string text;  // the value, or the error
    double at = 0;
};
inline Answer readAnswer(Stream& stream, double timeoutMs) {
    Answer answer;
    std::string line;
    const bool isRead = stream.readLine(line, timeoutMs);
    answer.at = nowMs();
    if (!isRead || line.empty()) return answer;
    answer.text = line;
    answer.kind = line.starts_with("-BUSY") ? Answer::Kind::refused : Answer::Kind::failed;
    if (line[0] != '$') return answer;
    const auto size = static_cast<std::size_t>(std::atol(line.c_str() + 1));
    const bool isWhole = stream.readBytes(size + 2, answer.text, timeoutMs);
    answer.at = nowMs();
    if (!isWhole) return {Answer::Kind::none, "", answer.at};
    answer.text.resize(size);
    answer.kind = Answer::Kind::value;
    return answer;
}
inline const char* nameOf(Answer::Kind kind) {
    switch (kind) {
        case Answer::Kind::value:
            return "value";
        case Answer::Kind::refused:
            return "refused";
        case Answer::Kind::failed:
            return "failed";
        case Answer::Kind::none:
            break;
    }
    return "none";
}

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};
inline bool readHttp(Stream& stream, HttpRequest& request) {
    request = {};
    std::string line;
    if (!stream.readLine(line, 3'600'000)) return false;
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (second == std::string::npos) return false;
    request.method = line.substr(0, first);
    request.path = line.substr(first + 1, second - first - 1);
    while (stream.readLine(line) && !line.empty()) {
        const auto colon = line.find(": ");
        if (colon != std::string::npos) request.headers[line.substr(0, colon)] = line.substr(colon + 2);
    }
    const auto length = request.headers.find("Content-Length");
    if (length == request.headers.end()) return true;
    return stream.readBytes(static_cast<std::size_t>(std::stoul(length->second)), request.body);
}
inline std::string httpAnswer(const std::string& body, const std::string& status = "200 OK",
                              const std::string& headers = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers +
           "\r\n" + body;
}

// ---- Discovery

struct ListedServer {
    std::string id;
    int port;
    std::string zone;
    std::string kind;
};
inline std::string listOf(const std::vector<ListedServer>& servers) {
    std::string list = R"({"version":1,"full":true,"servers":[)";
    for (std::size_t i = 0; i < servers.size(); ++i)
        list += (i ? "," : "") + (R"({"id":")" + servers[i].id) + R"(","addr":"127.0.0.1:)" +
                std::to_string(servers[i].port) + R"(","zone":")" + servers[i].zone + R"(","kind":")" +
                servers[i].kind + R"(","cell":0,"state":"Ready","weight":1.0,"started_ms":0})";
    return list + "]}";
}
// Answers with the whole list; a watch ends without changes after its wait.
inline void serveDiscovery(Stream& stream, const std::string& list) {
    HttpRequest request;
    while (readHttp(stream, request)) {
        const auto wait = request.path.find("wait_ms=");
        const bool isWatch = wait != std::string::npos && std::atol(request.path.c_str() + wait + 8) > 0;
        if (isWatch) sleepMs(std::atof(request.path.c_str() + wait + 8));
        if (!stream.send(httpAnswer(isWatch ? R"({"version":1,"full":false,"servers":[]})" : list))) return;
    }
}

// ---- The router

inline void writeFile(const std::string& path, const std::string& text) {
    const std::string temporary = path + ".part";
    std::FILE* const file = std::fopen(temporary.c_str(), "w");
    if (!file) std::exit(kCouldNotRun);
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
    if (std::rename(temporary.c_str(), path.c_str()) != 0) std::exit(kCouldNotRun);
}
// Whether the router answers PING within 20 s.
inline bool awaitRouter(int port) {
    for (int i = 0; i < 400; ++i) {
        const int connected = Stream::connect(port);
        if (connected >= 0) {
            Stream stream(connected);
            std::string line;
            if (stream.send(command({"PING"})) && stream.readLine(line, 1'000) && line == "+PONG")
                return true;
        }
        sleepMs(50);
    }
    return false;
}

}  // namespace standins
