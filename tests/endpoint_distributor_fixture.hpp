// Fixture of the tests of the endpoint distributor program: an emulated discovery, the
// distributor's process, and HTTP requests and responses.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fixtures.hpp"

namespace poppyscale::test {

using nlohmann::json;

using Clock = std::chrono::steady_clock;

// The time within which routers are guaranteed to get a change.
constexpr auto kMaxPropagation = std::chrono::milliseconds(5'000);

inline std::string addressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// An emulated discovery that runs on its own thread.
class Discovery {
  public:
    enum class Mode { healthy, malformed, older, endless, silent, notHttp };

    Discovery() {
        listener_.emplace();
        thread_ = std::thread([this] { run(); });
    }
    ~Discovery() {
        isStopping_ = true;
        thread_.join();
    }
    std::string address() const { return listener_->address(); }

    void set(const json& entry) {
        const std::lock_guard lock(mutex_);
        ++version_;
        servers_[entry.at("id")] = {entry, version_};
    }
    // Discards all servers and starts again at version 1 with this server.
    void restart(const json& entry) {
        const std::lock_guard lock(mutex_);
        servers_.clear();
        version_ = 1;
        servers_[entry.at("id")] = {entry, version_};
    }
    std::int64_t version() {
        const std::lock_guard lock(mutex_);
        return version_;
    }
    void setMode(Mode mode) { mode_ = mode; }
    int requests() const { return requests_; }

  private:
    struct Entry {
        json text;
        std::int64_t changed = 0;
    };
    struct Reader {
        int descriptor;
        std::string input;
        bool hasRequest = false;
        bool isEndless = false;
        std::optional<std::int64_t> after;
        Clock::time_point deadline;
    };

    void run() {
        while (!isStopping_) {
            std::vector<pollfd> descriptors{{listener_->descriptor(), POLLIN, 0}};
            for (const Reader& reader : readers_) descriptors.push_back({reader.descriptor, POLLIN, 0});
            ::poll(descriptors.data(), descriptors.size(), 5);
            if (descriptors[0].revents)
                readers_.push_back(
                    {::accept(listener_->descriptor(), nullptr, nullptr), {}, false, false, {}, {}});
            std::size_t index = 1;
            for (auto it = readers_.begin(); it != readers_.end() && index < descriptors.size(); ++index) {
                const bool isReadable = descriptors[index].revents != 0;
                const bool isOpen = (!isReadable || read(*it)) && serve(*it);
                if (isOpen) {
                    ++it;
                    continue;
                }
                ::close(it->descriptor);
                it = readers_.erase(it);
            }
        }
        for (const Reader& reader : readers_) ::close(reader.descriptor);
    }
    bool read(Reader& reader) {
        char buffer[4096];
        const auto got = ::recv(reader.descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (got <= 0) return false;
        reader.input.append(buffer, static_cast<std::size_t>(got));
        const auto end = reader.input.find("\r\n\r\n");
        if (end == std::string::npos) return true;
        ++requests_;
        reader.hasRequest = true;
        const auto number = [&](const std::string& key) -> std::optional<std::int64_t> {
            const auto found = reader.input.find(key + "=");
            if (found == std::string::npos) return std::nullopt;
            return std::stoll(reader.input.substr(found + key.size() + 1));
        };
        reader.after = number("after");
        reader.deadline = Clock::now() + std::chrono::milliseconds(number("wait_ms").value_or(0));
        reader.input.erase(0, end + 4);
        return true;
    }
    bool serve(Reader& reader) {
        if (reader.isEndless) return send(reader, std::string(256 * 1024, 'x'));
        const bool isDue = reader.hasRequest && (!reader.after || version() > *reader.after ||
                                                 Clock::now() >= reader.deadline || mode_ == Mode::older);
        const Mode mode = mode_;
        if (!isDue || mode == Mode::silent) return true;
        reader.hasRequest = false;
        switch (mode) {
            case Mode::malformed:
                return send(reader, http(200, "{\"version\":99,\"full\":true,\"servers\":[{]}"));
            case Mode::notHttp:
                return send(reader, "nonsense\r\n\r\n");
            case Mode::older:
                return send(reader, http(200, R"({"version":1,"full":true,"servers":[]})"));
            case Mode::endless:
                reader.isEndless = true;
                return send(reader, "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n");
            default:
                return send(reader, http(200, responseTo(reader.after)));
        }
    }
    static bool send(Reader& reader, const std::string& text) {
        const auto sent = ::send(reader.descriptor, text.data(), text.size(),
                                 MSG_NOSIGNAL | (reader.isEndless ? MSG_DONTWAIT : 0));
        return sent > 0 || errno == EAGAIN;
    }
    std::string responseTo(std::optional<std::int64_t> after) {
        const std::lock_guard lock(mutex_);
        json response{
            {"version", version_}, {"full", !after || *after > version_}, {"servers", json::array()}};
        for (const auto& [id, entry] : servers_)
            if (response["full"] || entry.changed > *after) response["servers"].push_back(entry.text);
        return response.dump();
    }

    std::optional<TestServer> listener_;
    std::thread thread_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<Mode> mode_ = Mode::healthy;
    std::atomic<int> requests_ = 0;
    std::mutex mutex_;
    std::int64_t version_ = 1;
    std::map<std::string, Entry> servers_;
    std::list<Reader> readers_;
};

inline json serverEntry(const std::string& id, int weight = 1) {
    return {{"id", id},  {"addr", "127.0.0.1:1"}, {"zone", "a"},      {"kind", "m"},
            {"cell", 0}, {"state", "Ready"},      {"weight", weight}, {"started_ms", 0}};
}

struct HttpResponse {
    int status = 0;
    std::vector<std::string> head;
    std::string body;
    json list() const { return json::parse(body, nullptr, false); }
    std::int64_t version() const {
        const json parsed = list();
        return parsed.is_object() ? parsed.value("version", std::int64_t{-1}) : -1;
    }
    std::string header(const std::string& name) const {
        for (const std::string& line : head)
            if (line.starts_with(name + ": ")) return line.substr(name.size() + 2);
        return "";
    }
};

inline HttpResponse readHttpResponse(Socket& socket) {
    HttpResponse response;
    response.head = socket.readHead();
    if (response.head.empty() || response.head[0].size() < 12) return response;
    response.status = std::stoi(response.head[0].substr(9));
    const std::string length = response.header("Content-Length");
    if (!length.empty()) response.body = socket.readBytes(std::stoul(length));
    return response;
}

inline std::string request(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: d\r\n\r\n";
}
inline std::string afterTarget(std::int64_t after, int waitMs) {
    return "/api/targets?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(waitMs);
}

// A process of the program. It is killed at the end of the test.
class DistributorProcess {
  public:
    DistributorProcess(const std::string& name, const std::vector<std::string>& upstreams,
                       std::string settings = "wait_ms = 2000\n")
        : port(reservedPort_.port) {
        char folder[] = "/tmp/poppyscale-distributor-XXXXXX";
        if (!mkdtemp(folder)) throw std::runtime_error("no folder for settings");
        folder_ = folder;
        std::ofstream file(folder_ + "/settings.toml");
        file << "[distributor]\nname = \"" << name << "\"\nlisten = \"" << address()
             << "\"\nupstreams = " << json(upstreams) << "\n"
             << settings;
        file.close();
        start();
        waitForList();
    }
    ~DistributorProcess() {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove_all(folder_);
    }
    void start() {
        SpawnOptions options;
        options.log = folder_ + "/log";
        options.appendsToLog = true;
        pid_ =
            spawnProgram(POPPYSCALE_ENDPOINT_DISTRIBUTOR,
                         {POPPYSCALE_ENDPOINT_DISTRIBUTOR, "--config", folder_ + "/settings.toml"}, options);
    }
    void waitForList() const {
        for (int tries = 0; tries < 1'500 && status().value("version", 0) == 0; ++tries) usleep(20'000);
    }
    void signal(int number) const { kill(pid_, number); }
    void killNow() {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    int exitCode() {
        int status = 0;
        waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string address() const { return addressOf(port); }
    Socket reader() const { return Socket(port); }
    HttpResponse get(const std::string& target) const {
        Socket socket(port);
        if (!socket.isOpen()) return {};
        socket.send(request(target));
        return readHttpResponse(socket);
    }
    json status() const {
        const json parsed = get("/status").list();
        return parsed.is_object() ? parsed : json::object();
    }
    std::size_t residentKiB() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        std::size_t pages = 0;
        file >> pages >> pages;
        return pages * 4;
    }
    std::string log() const {
        std::ifstream file(folder_ + "/log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

  private:
    ReservedPort reservedPort_;
    std::string folder_;
    pid_t pid_ = -1;

  public:
    std::uint16_t port;
};

// Whether readers of this distributor get this version within kMaxPropagation after `changedAt`.
// Checks that no response lowers the version.
inline bool isPropagated(const DistributorProcess& distributor, std::int64_t version,
                         Clock::time_point changedAt, std::int64_t known = 0) {
    while (Clock::now() - changedAt < kMaxPropagation) {
        const auto response = distributor.get(known ? afterTarget(known, 500) : "/api/targets");
        if (response.status == 200) {
            CHECK(response.version() >= known);
            known = std::max(known, response.version());
        }
        if (known >= version) return true;
        if (response.status != 200) usleep(20'000);
    }
    MESSAGE(distributor.log());
    return false;
}

}  // namespace poppyscale::test
