#include "protocol/request.hpp"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/client_response.hpp"
#include "protocol/info_list.hpp"
#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::size_t kMaxArgumentLength = 1024;  // bytes of a key, an id or an info list
// The maximum number of bytes of a command's name that an error quotes.
constexpr std::size_t kMaxQuotedLength = 32;

constexpr std::string_view kPing = "PING";
constexpr std::string_view kQuit = "QUIT";

// Keys, ids and info lists are forwarded to the origin in an HTTP request, where a line break in
// one of them would begin another header.
bool isVisibleText(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

bool isArgument(std::string_view text, std::size_t minLength) {
    return text.size() >= minLength && text.size() <= kMaxArgumentLength && isVisibleText(text);
}

std::string upperCase(std::string text) {
    for (char& c : text) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return text;
}

std::string printable(std::string_view text) {
    std::string printed(text.substr(0, kMaxQuotedLength));
    for (char& c : printed)
        if (c < ' ' || c > '~') c = '?';
    return printed;
}

ControlCommand problem(std::string_view text) { return {errorResponse(text)}; }

ControlCommand wrongArgumentCount(const std::string& name) {
    return problem("wrong number of arguments for '" + name + "'");
}

ControlCommand respondToPing(const std::vector<RespValue>& arguments) {
    if (arguments.size() > 2) return wrongArgumentCount(std::string(kPing));
    return {arguments.size() == 1 ? "+PONG\r\n" : bulk(arguments[1].text), false, true};
}

// Returns false if the info list lacks a request class or a valid timeout.
bool readInfo(Request& request) {
    std::int64_t timeoutMs = -1;
    forEachInfoItem(request.info, [&](const InfoItem& item) {
        if (item.name == kRequestClassItem) request.requestClass = item.value;
        if (item.name == kTenantItem) request.tenant = item.value;
        if (item.name == kRetryItem) request.isRetry = item.value == "1";
        if (item.name == kTimeoutItem) timeoutMs = parse<std::int64_t>(item.value).value_or(-1);
    });
    if (timeoutMs < 0 || request.requestClass.empty()) return false;
    request.timeout = std::min(timeoutMs, kMaxTimeoutMs) * kMillisecond;
    return true;
}

}  // namespace

ClientMessage readRequest(RespValue message) {
    auto& arguments = message.items;
    if (arguments.empty()) return problem("empty command");
    const std::string name = upperCase(arguments[0].text);
    if (name == kPing) return respondToPing(arguments);
    if (name == kQuit) return ControlCommand{"+OK\r\n", true};
    const bool isWrite = name == kWriteCommand;
    if (!isWrite && name != kReadCommand)
        return problem("unknown command '" + printable(arguments[0].text) + "'");
    if (arguments.size() != (isWrite ? 5U : 4U)) return wrongArgumentCount(name);

    Request request;
    request.isWrite = isWrite;
    request.key = std::move(arguments[1].text);
    request.id = std::move(arguments[2].text);
    request.info = std::move(arguments[3].text);
    if (isWrite) request.value = std::move(arguments[4].text);
    if (!isArgument(request.key, 1) || !isArgument(request.id, 1) || !isArgument(request.info, 0))
        return problem("key and id must be 1 to 1024, the info list 0 to 1024 visible ASCII characters");
    if (!readInfo(request))
        return problem("the info list must have a request class c and a timeout d in whole milliseconds");
    return request;
}

ClientMessage readRequestHead(std::vector<RespValue> arguments, std::size_t streamedLength) {
    arguments.push_back({RespValue::Kind::bulk, {}, {}});
    auto message = readRequest({RespValue::Kind::array, {}, std::move(arguments)});
    if (auto* const request = std::get_if<Request>(&message)) request->streamedLength = streamedLength;
    return message;
}

}  // namespace poppyscale::protocol
