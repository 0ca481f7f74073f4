#include "ctl/distributor_status.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>

#include "base/file_descriptor.hpp"
#include "ctl/control_client.hpp"
#include "protocol/http_response.hpp"
#include "protocol/number.hpp"

namespace poppyscale::ctl {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxStatusSize = 1024 * 1024;  // bytes
constexpr std::size_t kReadSize = 16 * 1024;         // bytes

// Returns nullopt if the text is not an IPv4 address and a port.
std::optional<sockaddr_in> parseAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    const auto port = protocol::parse<std::uint16_t>(std::string_view(text).substr(colon + 1));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port.value_or(0));
    const bool isValid = port && ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
    return isValid ? std::optional(address) : std::nullopt;
}

// Returns false if none of the events occurs before the deadline.
bool waitFor(const FileDescriptor& socket, short events, Clock::time_point deadline) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    pollfd descriptor{socket.get(), events, 0};
    return remaining > 0 && ::poll(&descriptor, 1, static_cast<int>(remaining)) == 1;
}

bool sendHttpRequest(const FileDescriptor& socket, const sockaddr_in& to, const std::string& request,
                     Clock::time_point deadline) {
    const int connected = ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
    const bool isConnecting = connected == 0 || errno == EINPROGRESS;
    if (!isConnecting || !waitFor(socket, POLLOUT, deadline)) return false;
    const ssize_t sent = ::send(socket.get(), request.data(), request.size(), MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(request.size());
}

}  // namespace

nlohmann::json distributorStatus(const std::string& address, int timeoutMs) {
    const auto parsedAddress = parseAddress(address);
    if (!parsedAddress) throw Unreachable(fmt::format("'{}' is not an IPv4 address and port", address));
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    const FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const std::string request =
        fmt::format("GET /status HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", address);
    if (!sendHttpRequest(socket, *parsedAddress, request, deadline))
        throw Unreachable(fmt::format("connection to the distributor at {} failed", address));
    protocol::HttpResponse response(kMaxStatusSize);
    auto state = protocol::HttpResponse::State::more;
    while (state == protocol::HttpResponse::State::more) {
        if (!waitFor(socket, POLLIN, deadline))
            throw Unreachable(fmt::format("no answer from {} within {} ms", address, timeoutMs));
        char buffer[kReadSize];
        const ssize_t size = ::recv(socket.get(), buffer, sizeof buffer, 0);
        if (size <= 0) throw Unreachable("connection closed before the answer was complete: " + address);
        state = response.feed({buffer, static_cast<std::size_t>(size)});
    }
    const bool isSuccess = state == protocol::HttpResponse::State::complete && response.status() == 200;
    auto status = nlohmann::json::parse(isSuccess ? response.body() : "", nullptr, false);
    if (!status.is_object()) throw Unreachable("expected HTTP status 200 with a JSON object from " + address);
    return status;
}

std::string distributorTable(const nlohmann::json& status) {
    std::string table;
    for (const char* key :
         {"name", "version", "entries", "tombstones", "age_ms", "trouble", "upstream", "readers",
          "readers_refused", "slow_readers_closed", "answers", "whole_answers", "delta_answers", "bytes_sent",
          "version_falls_refused", "epochs", "lost_versions"}) {
        const auto found = status.find(key);
        if (found == status.end()) continue;  // a distributor of another version may lack the key
        const std::string value = found->is_string() ? found->get<std::string>() : found->dump();
        table += fmt::format("{:<22} {}\n", key, value.empty() ? "-" : value);
    }
    return table;
}

}  // namespace poppyscale::ctl
