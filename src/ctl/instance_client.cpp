#include "ctl/instance_client.hpp"

#include "ctl/control_client.hpp"

namespace poppyscale::ctl {
namespace {

using nlohmann::json;

constexpr int kStatusTimeoutMs = 200;
constexpr int kProcessIdTimeoutMs = 800;
constexpr int kReloadTimeoutMs = 4'000;
constexpr int kUpgradeTimeoutMs = 15'000;  // above the instance's own timeout for its new process
constexpr int kMetricsTimeoutMs = 350;     // limit for the answers of all instances together

}  // namespace

InstanceStatus requestStatus(const std::string& socket) {
    const json status = sendRequest(socket, {{"do", "status"}}, kStatusTimeoutMs);
    return {status.at("pid").get<pid_t>(), status.at("state") == "serving"};
}

pid_t requestProcessId(const std::string& socket) {
    return sendRequest(socket, {{"do", "status"}}, kProcessIdTimeoutMs).at("pid").get<pid_t>();
}

bool requestReload(const std::string& socket) {
    const json answer = sendRequest(socket, {{"do", "reload"}}, kReloadTimeoutMs);
    return !answer.contains("error") && answer.at("waits").empty();
}

UpgradeResult requestUpgrade(const std::string& socket, const std::string& program) {
    const json answer = sendRequest(socket, {{"do", "upgrade"}, {"program", program}}, kUpgradeTimeoutMs);
    return {answer.value("error", ""), answer.value("taken_over_by", pid_t{0})};
}

std::vector<json> requestMetrics(const std::vector<std::string>& sockets) {
    const std::vector<json> requests(sockets.size(), json{{"do", "figures"}});
    return sendRequests(sockets, requests, kMetricsTimeoutMs);
}

}  // namespace poppyscale::ctl
