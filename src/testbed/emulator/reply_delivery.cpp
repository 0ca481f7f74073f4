#include "testbed/emulator/reply_delivery.hpp"

#include <fmt/format.h>

#include <iterator>

namespace poppyscale::testbed {
namespace {

constexpr std::size_t kLengths[]{100, 20'000, 60'000, 150'000};
constexpr std::size_t kRates[]{20'000, 40'000, 100'000, 400'000};
constexpr StopPoint kStopPoints[]{StopPoint::inHead, StopPoint::afterHead, StopPoint::inValue,
                                  StopPoint::beforeEnd};
constexpr int kMaxPauseMs = 1'200;

template <class T, std::size_t count>
T drawOne(Random& random, const T (&items)[count]) {
    return items[random.integerBelow(static_cast<int>(count))];
}

}  // namespace

ReplyDelivery drawSlowDelivery(Random& random) {
    ReplyDelivery delivery;
    const bool isLate = random.chance(0.5);
    if (isLate) delivery.pause = random.integerBelow(kMaxPauseMs) * kMillisecond;
    delivery.length = drawOne(random, kLengths);
    delivery.bytesPerSecond = drawOne(random, kRates);
    return delivery;
}

ReplyDelivery drawStoppedDelivery(Random& random) {
    ReplyDelivery delivery;
    delivery.length = drawOne(random, kLengths);
    delivery.stop = drawOne(random, kStopPoints);
    return delivery;
}

std::string describe(const ReplyDelivery& delivery) {
    return fmt::format("pause={} length={} rate={} stop={}", delivery.pause / kMillisecond, delivery.length,
                       delivery.bytesPerSecond, static_cast<int>(delivery.stop));
}

}  // namespace poppyscale::testbed
