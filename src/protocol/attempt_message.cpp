#include "protocol/attempt_message.hpp"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <utility>
#include <vector>

#include "protocol/info_list.hpp"
#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::string_view kErrorPrefix = "ERR";
constexpr std::string_view kBusyPrefix = "BUSY";
constexpr std::size_t kCacheResponseItems = 3;

// The info list as the client sent it, except that the timeout is `timeLeft` in milliseconds.
std::string attemptInfo(const Request& request, Nanos timeLeft) {
    const auto milliseconds = std::max<Nanos>(timeLeft, kMinForwardedTimeout) / kMillisecond;
    std::string info;
    forEachInfoItem(request.info, [&](const InfoItem& item) {
        if (!info.empty()) info += ',';
        if (item.name == kTimeoutItem)
            info.append(kTimeoutItem).append("=").append(std::to_string(milliseconds));
        else
            info += item.text;
    });
    return info;
}

// The URL path of a key. Bytes that a path must not contain are percent-encoded.
std::string pathOf(std::string_view key) {
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    constexpr std::string_view kPathCharacters = "-._~!$&'()*+,;=:@";
    std::string path = "/";
    for (const char c : key) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || kPathCharacters.find(c) != std::string_view::npos) {
            path += c;
        } else {
            path += '%';
            path += kDigits[byte >> 4];
            path += kDigits[byte & 15];
        }
    }
    return path;
}

// Whether `error` is exactly "BUSY" or "BUSY MS", which proves that the request was not executed. A
// server may have executed the request before it sent a corrupted line that only begins alike.
bool isBusy(std::string_view error) {
    if (!error.starts_with(kBusyPrefix)) return false;
    error.remove_prefix(kBusyPrefix.size());
    if (error.empty()) return true;
    return error[0] == ' ' && parse<std::uint32_t>(error.substr(1));
}

AttemptResponse readCacheError(std::string_view error) {
    if (error.starts_with(kErrorPrefix)) return {AttemptOutcome::failed, {}, true};
    if (isBusy(error)) return {AttemptOutcome::overloaded, {}, true};
    return {};
}

// An unknown keyword does not invalidate the response.
ReadThroughResult readThroughOf(std::string_view keyword) {
    if (keyword == "hit") return ReadThroughResult::cached;
    if (keyword == "miss" || keyword == "pending") return ReadThroughResult::fetched;
    return ReadThroughResult::unknown;
}

}  // namespace

std::string cacheRequest(const Request& request, Nanos timeLeft) {
    const std::string info = attemptInfo(request, timeLeft);
    std::vector<std::string_view> arguments{request.isWrite ? kWriteCommand : kReadCommand, request.key,
                                            request.id, info};
    const bool isStreamed = request.streamedLength > 0;
    if (request.isWrite && !isStreamed) arguments.push_back(request.value);
    std::string bytes = command(arguments, isStreamed ? 1 : 0);
    if (isStreamed) bytes += bulkHead(request.streamedLength);
    return bytes;
}

std::string originRequest(const Request& request, std::string_view host, Nanos timeLeft) {
    std::string bytes(request.isWrite ? "PUT " : "GET ");
    bytes.append(pathOf(request.key)).append(" HTTP/1.1\r\nHost: ").append(host);
    bytes.append("\r\nX-Call-Id: ").append(request.id);
    bytes.append("\r\nX-Call-Info: ").append(attemptInfo(request, timeLeft));
    const std::size_t length = request.streamedLength ? request.streamedLength : request.value.size();
    if (request.isWrite) bytes.append("\r\nContent-Length: ").append(std::to_string(length));
    return bytes.append("\r\n\r\n").append(request.value);
}

// A response has three items: the value or receipt, the read-through result, and a load report. The
// load report is not used, so it may be of any kind.
AttemptResponse readCacheResponse(RespValue response) {
    using Kind = RespValue::Kind;
    if (response.kind == Kind::error) return readCacheError(response.text);
    if (response.kind != Kind::array || response.items.size() != kCacheResponseItems) return {};
    const RespValue& readThrough = response.items[1];
    if (readThrough.kind != Kind::bulk && readThrough.kind != Kind::null) return {};
    RespValue& value = response.items[0];
    if (value.kind == Kind::null) return {AttemptOutcome::cacheMiss, {}, true};
    if (value.kind != Kind::bulk) return {};
    return {AttemptOutcome::succeeded, std::move(value.text), true, readThroughOf(readThrough.text)};
}

}  // namespace poppyscale::protocol
