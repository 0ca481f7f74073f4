#include "ctl/distributor_status.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>

#include "ctl/control_client.hpp"
#include "protocol/http_response.hpp"
#include "protocol/number.hpp"

namespace poppyscale::ctl {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxStatus = 1024 * 1024;  // bytes

struct Descriptor {
    int value;
    ~Descriptor() { ::close(value); }
};

std::optional<sockaddr_in> readAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    const auto port = protocol::parse<std::uint16_t>(std::string_view(text).substr(colon + 1));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port.value_or(0));
    const bool isGood = port && ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
    return isGood ? std::optional(address) : std::nullopt;
}

bool waitFor(int descriptor, short events, Clock::time_point until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd one{descriptor, events, 0};
    return left > 0 && ::poll(&one, 1, static_cast<int>(left)) == 1;
}

}  // namespace

nlohmann::json distributorStatus(const std::string& address, int withinMs) {
    const auto to = readAddress(address);
    if (!to) throw Unreachable(fmt::format("'{}' is not an address and port", address));
    const auto until = Clock::now() + std::chrono::milliseconds(withinMs);
    const Descriptor socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
    const int connected = ::connect(socket.value, reinterpret_cast<const sockaddr*>(&*to), sizeof *to);
    const bool isComing = connected == 0 || errno == EINPROGRESS;
    const std::string request =
        fmt::format("GET /status HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", address);
    const bool isSent = isComing && waitFor(socket.value, POLLOUT, until) &&
                        ::send(socket.value, request.data(), request.size(), MSG_NOSIGNAL) ==
                            static_cast<ssize_t>(request.size());
    if (!isSent) throw Unreachable(fmt::format("no distributor at {}", address));
    protocol::HttpResponse answer(kMaxStatus);
    auto state = protocol::HttpResponse::State::more;
    while (state == protocol::HttpResponse::State::more) {
        if (!waitFor(socket.value, POLLIN, until)) throw Unreachable("no answer in time from " + address);
        char buffer[16 * 1024];
        const ssize_t got = ::recv(socket.value, buffer, sizeof buffer, 0);
        if (got <= 0) throw Unreachable("no whole answer from " + address);
        state = answer.feed({buffer, static_cast<std::size_t>(got)});
    }
    const bool isGood = state == protocol::HttpResponse::State::complete && answer.status() == 200;
    auto status = nlohmann::json::parse(isGood ? answer.body() : "", nullptr, false);
    if (!status.is_object()) throw Unreachable("no answer in form from " + address);
    return status;
}

std::string distributorTable(const nlohmann::json& status) {
    std::string table;
    for (const char* key :
         {"name", "version", "entries", "tombstones", "age_ms", "trouble", "upstream", "readers",
          "readers_refused", "slow_readers_closed", "answers", "whole_answers", "delta_answers", "bytes_sent",
          "version_falls_refused", "epochs", "lost_versions"}) {
        const auto found = status.find(key);
        if (found == status.end()) continue;  // one of another version
        const std::string value = found->is_string() ? found->get<std::string>() : found->dump();
        table += fmt::format("{:<22} {}\n", key, value.empty() ? "-" : value);
    }
    return table;
}

}  // namespace poppyscale::ctl
