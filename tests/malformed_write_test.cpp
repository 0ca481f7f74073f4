// Writes that are malformed: nothing of them is executed, whatever the length of their value is.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fixtures.hpp"
#include "protocol/resp.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

constexpr protocol::RespDecoder::Limits kWriteLimits{.maxBulkLength = 64,
                                                     .maxItems = 16,
                                                     .maxDepth = 1,
                                                     .maxValueSize = 1024,
                                                     .commandsOnly = true,
                                                     .maxStreamedLength = 512,
                                                     .streamedItem = 4,
                                                     .streamsLastItemOnly = true};

const std::vector<std::string> kHead = {"OBJ.SET", "k", "9b1f-k", "c=pay,t=north,d=900"};

// A write that announces `announced` arguments and has those of kHead, the value and `extra`.
std::string writeOf(std::size_t announced, const std::string& value,
                    const std::vector<std::string>& extra = {}) {
    std::vector<std::string> words = kHead;
    words.push_back(value);
    words.insert(words.end(), extra.begin(), extra.end());
    const std::string text = array(words);
    return "*" + std::to_string(announced) + text.substr(text.find('\r'));
}

struct Decoded {
    std::string streamed;
    bool isComplete = false;
};
Decoded decodeInTwoParts(const std::string& text, std::size_t split) {
    using State = protocol::RespDecoder::State;
    protocol::RespDecoder decoder(kWriteLimits);
    Decoded decoded;
    for (const std::string& part : {text.substr(0, split), text.substr(split)}) {
        std::string_view bytes = part;
        State state = State::more;
        do {
            state = decoder.feed(bytes);
            if (state == State::streamChunk) decoded.streamed += decoder.chunk();
            decoded.isComplete = decoded.isComplete || state == State::complete;
        } while (state == State::streamBegins || state == State::streamChunk ||
                 (state == State::complete && !bytes.empty()));
    }
    return decoded;
}

std::string broken(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.rfind(from), from.size(), to);
}

bool receivesBytes(TestServer& server, int timeoutMs) {
    return !server.isQuiet(timeoutMs) && server.accept().awaitInput();
}

// Whether the origin or the cache server gets any bytes. In mode "through" both are cache servers.
bool hasForwarded(RouterFixture& fixture) {
    return receivesBytes(fixture.origin, 200) || receivesBytes(fixture.caches[0], 200);
}

}  // namespace

// Guards against forwarding a value before the number of its command's arguments is known to be right.
TEST_CASE("nothing of a malformed write is streamed, wherever its bytes are split") {
    const std::string value(300, 'x');
    const std::string tail = value + "\r\n";
    const std::vector<std::string> malformed = {
        writeOf(6, value, {"more"}),
        writeOf(6, value),
        writeOf(16, value),
        writeOf(4, value),
        writeOf(0, value),
        broken(writeOf(5, value), "$300", "$513"),
        broken(writeOf(5, value), "$300", "$-1"),
        broken(writeOf(5, value), "$300", "$x"),
    };
    for (const std::string& text : malformed) {
        CAPTURE(text.substr(0, 20));
        for (std::size_t split = 0; split <= text.size(); ++split)
            CHECK(decodeInTwoParts(text, split).streamed.empty());
    }
    const std::string unterminated = broken(writeOf(5, value), tail, value + "xx");
    const std::string tooShort = broken(writeOf(5, value), "$300", "$299");
    const std::string whole = writeOf(5, value);
    for (std::size_t split = 0; split <= whole.size(); ++split) {
        CHECK(decodeInTwoParts(unterminated, split).streamed.size() < 300);
        CHECK(decodeInTwoParts(tooShort, split).streamed.size() < 299);
        const Decoded decoded = decodeInTwoParts(whole, split);
        CHECK(decoded.streamed == value);
        CHECK(decoded.isComplete);
    }
}

TEST_CASE(
    "a long write with a wrong number of arguments gets an error, as a short one does, and is not executed") {
    for (const std::size_t length : {std::size_t{100}, std::size_t{100'000}}) {
        for (const bool isThrough : {false, true}) {
            CAPTURE(length);
            CAPTURE(isThrough);
            auto start = minimalStartConfig();
            if (isThrough) start["settings"]["familyInfo"] = {{"mode", "through"}, {"originKind", -1}};
            RouterFixture fixture(1, start);
            const std::string value(length, 'x');
            const std::string six = writeOf(6, value, {"more"});
            for (const std::string& text : {six, writeOf(6, value)}) {
                Socket client = fixture.client();
                client.send(text.substr(0, 90)).send(text.substr(90));
                CHECK(!hasForwarded(fixture));
                const std::string answer = client.readResponse();
                CHECK(answer.starts_with("-ERR"));
            }
            Socket client = fixture.client();
            client.send(writeOf(5, value));
            CHECK(hasForwarded(fixture));
        }
    }
}
