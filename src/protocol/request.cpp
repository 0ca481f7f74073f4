#include "protocol/request.hpp"

#include <algorithm>
#include <cctype>

#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::size_t kMaxWordLength = 1024;  // of a key, an id or a list

bool isWord(std::string_view text, std::size_t least) {
    // These go on in a header of the origin's: a line break in one would begin another header.
    return text.size() >= least && text.size() <= kMaxWordLength &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// Calls with each name, its value and the whole item.
template <class Visit>
void eachItem(std::string_view info, Visit visit) {
    while (!info.empty()) {
        const auto item = info.substr(0, info.find(','));
        const auto equals = item.find('=');
        visit(item.substr(0, equals), equals == item.npos ? std::string_view{} : item.substr(equals + 1),
              item);
        info.remove_prefix(std::min(info.size(), item.size() + 1));
    }
}

std::string upper(std::string text) {
    for (char& c : text) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return text;
}

std::string printable(std::string_view text) {
    std::string out(text.substr(0, 32));
    for (char& c : out)
        if (c < ' ' || c > '~') c = '?';
    return out;
}

// The info list of an attempt: as the client sent it, but for the time that is left.
std::string attemptInfo(const Request& command, Nanos timeLeft) {
    const auto milliseconds = std::max<Nanos>(timeLeft, kMinForwardedTimeout) / kMillisecond;
    std::string info;
    eachItem(command.info, [&](std::string_view name, std::string_view, std::string_view item) {
        if (!info.empty()) info += ',';
        if (name == "d")
            info.append("d=").append(std::to_string(milliseconds));
        else
            info += item;
    });
    return info;
}

ControlCommand describeProblem(std::string_view what) { return {"-ERR " + std::string(what) + "\r\n"}; }

// The path of a key: all that a path may not hold is written as its number.
std::string pathOf(std::string_view key) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string path = "/";
    for (const char c : key) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || std::string_view("-._~!$&'()*+,;=:@").find(c) != std::string_view::npos) {
            path += c;
        } else {
            path += '%';
            path += digits[byte >> 4];
            path += digits[byte & 15];
        }
    }
    return path;
}

}  // namespace

std::variant<Request, ControlCommand> readRequest(RespValue value) {
    auto& words = value.items;
    if (words.empty()) return describeProblem("empty command");
    const std::string name = upper(words[0].text);
    if (name == "PING") {
        if (words.size() > 2) return describeProblem("wrong number of arguments for 'PING'");
        return ControlCommand{words.size() == 1 ? "+PONG\r\n" : bulk(words[1].text), false, true};
    }
    if (name == "QUIT") return ControlCommand{"+OK\r\n", true};
    const bool write = name == "OBJ.SET";
    if (!write && name != "OBJ.GET")
        return describeProblem("unknown command '" + printable(words[0].text) + "'");
    if (words.size() != (write ? 5U : 4U))
        return describeProblem("wrong number of arguments for '" + name + "'");

    Request command;
    command.isWrite = write;
    command.key = std::move(words[1].text);
    command.id = std::move(words[2].text);
    command.info = std::move(words[3].text);
    if (write) command.value = std::move(words[4].text);
    if (!isWord(command.key, 1) || !isWord(command.id, 1) || !isWord(command.info, 0))
        return describeProblem("key, id and list are words of up to 1024 visible characters");
    std::int64_t patience = -1;
    eachItem(command.info, [&](std::string_view item, std::string_view text, std::string_view) {
        if (item == "c") command.requestClass = text;
        if (item == "t") command.tenant = text;
        if (item == "r") command.isRetry = text == "1";
        if (item == "d") patience = parse<std::int64_t>(text).value_or(-1);
    });
    if (patience < 0 || command.requestClass.empty())
        return describeProblem("the list must tell c and d, d in milliseconds");
    command.timeout = std::min(patience, kMaxTimeoutMs) * kMillisecond;
    return command;
}

std::variant<Request, ControlCommand> readRequestHead(std::vector<RespValue> words, std::size_t longLength) {
    words.push_back({RespValue::Kind::bulk, {}, {}});
    auto said = readRequest({RespValue::Kind::array, {}, std::move(words)});
    if (auto* const command = std::get_if<Request>(&said)) command->longLength = longLength;
    return said;
}

std::string cacheRequest(const Request& command, Nanos timeLeft) {
    const std::string info = attemptInfo(command, timeLeft);
    std::vector<std::string_view> words{command.isWrite ? "OBJ.SET" : "OBJ.GET", command.key, command.id,
                                        info};
    if (command.isWrite && !command.longLength) words.push_back(command.value);
    std::string out = protocol::command(words, command.longLength ? 1 : 0);
    if (!command.longLength) return out;
    return out.append("$").append(std::to_string(command.longLength)).append("\r\n");
}

std::string originRequest(const Request& command, std::string_view host, Nanos timeLeft) {
    std::string out(command.isWrite ? "PUT " : "GET ");
    out.append(pathOf(command.key)).append(" HTTP/1.1\r\nHost: ").append(host);
    out.append("\r\nX-Call-Id: ").append(command.id);
    out.append("\r\nX-Call-Info: ").append(attemptInfo(command, timeLeft));
    const std::size_t length = command.longLength ? command.longLength : command.value.size();
    if (command.isWrite) out.append("\r\nContent-Length: ").append(std::to_string(length));
    return out.append("\r\n\r\n").append(command.value);
}

AttemptResponse readCacheResponse(RespValue answer) {
    if (answer.kind == RespValue::Kind::error) {
        std::string_view text = answer.text;
        if (text.starts_with("ERR")) return {AttemptOutcome::failed, {}, true};
        // Only what is just this proves that the command never ran: a spoilt line may come after it did.
        if (!text.starts_with("BUSY")) return {};
        text.remove_prefix(4);
        const bool plain = text.empty() || (text[0] == ' ' && parse<std::uint32_t>(text.substr(1)));
        return plain ? AttemptResponse{AttemptOutcome::overloaded, {}, true} : AttemptResponse{};
    }
    // The value or receipt, how it went and a load report, which nothing here reads: it may be of any kind.
    if (answer.kind != RespValue::Kind::array || answer.items.size() != 3) return {};
    const auto& how = answer.items[1].kind;
    if (how != RespValue::Kind::bulk && how != RespValue::Kind::null) return {};
    RespValue& first = answer.items[0];
    if (first.kind == RespValue::Kind::null) return {AttemptOutcome::cacheMiss, {}, true};
    if (first.kind != RespValue::Kind::bulk) return {};
    // A word that is none of these is passed over, and the answer counts as ever.
    const std::string_view word = answer.items[1].text;
    const ReadThroughResult found = word == "hit"                         ? ReadThroughResult::cached
                                    : word == "miss" || word == "pending" ? ReadThroughResult::fetched
                                                                          : ReadThroughResult::unknown;
    return {AttemptOutcome::succeeded, std::move(first.text), true, found};
}

}  // namespace poppyscale::protocol
