#include "RouterProcess.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

/// The settings of the pages' small deployment, with the addresses of this run.
std::string renderSettings(const RouterOptions &options, const Address &front, const Address &ready, std::uint16_t peerPort)
{
    std::ostringstream text;
    text
        << R"({"nodeName":")" << options.name << R"(","role":"router","machineClass":"edge","serves":["edge","control"],"ip":")" << options.host
        << R"(","zone":"zone-a","region":"region","zones":{"zone-a":"region"},"listen":{"front":")" << front.text() << R"(","ready":")" << ready.text()
        << R"(","control":")" << options.host << R"(:1"},"portRange":[)" << peerPort << "," << peerPort + 15
        << R"(],"seeds":[],"bootstrap":true,"lossCounts":false,"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},)"
        << R"("dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,"faultTolerance":{"machines":2,"zones":1,"regions":0},"bounds":{)"
        << R"("seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,)"
        << R"("backMs":250,"outerMs":5000,"strictRevoke":true,"revokeMs":5000,"retryRatio":0.2,"retryWindowS":10,"retrySlack":54,"recoverS":12,)"
        << R"("deliveryDelayMs":120,"reuseWindowS":10},"platform":{"address":")" << options.store.text()
        << R"(","form":"table","writesPerS":400,"readsPerS":2000,"txMs":5.0,"partWritesS":200,"rowBytes":65536,"across":false,"historyS":20}})";
    return text.str();
}

} // namespace

RouterProcess::RouterProcess(RouterOptions options)
    : options_(std::move(options)),
      front_ {.host = options_.host, .port = freePort(options_.host)},
      ready_ {.host = options_.host, .port = freePort(options_.host)},
      settingsFile_(options_.folder + "/" + options_.name + ".json")
{
    std::ofstream(settingsFile_) << renderSettings(options_, front_, ready_, freePort(options_.host));
}

RouterProcess::~RouterProcess()
{
    if (process_ > 0) {
        signal(SIGKILL);
        wait();
    }
}

void RouterProcess::start()
{
    process_ = ::fork();
    if (process_ < 0) {
        throw std::runtime_error("could not start the router");
    }
    if (process_ > 0) {
        return;
    }
    // The router must not outlive a case that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("MULBERRYWALL_NODE_FILE", settingsFile_.c_str(), 1);
    const std::string log = options_.folder + "/" + options_.name + ".log";
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::vector<char *> arguments;
    for (std::string &word : options_.command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

void RouterProcess::signal(int number) const
{
    ::kill(process_, number);
}

void RouterProcess::wait()
{
    ::waitpid(std::exchange(process_, -1), nullptr, 0);
}

bool RouterProcess::hasEnded()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ <= 0;
}

bool RouterProcess::waitUntilReady(milliseconds timeout) const
{
    const Clock::time_point end = Clock::now() + timeout;
    while (Clock::now() < end) {
        const Reply reply = exchange(ready_, {.method = "GET", .target = "/readyz", .headers = {{"Host", options_.host}}, .body = {}}, timeout);
        if (reply.status == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

std::size_t RouterProcess::memoryMb() const
{
    constexpr std::size_t kilobytesPerMegabyte = 1'000;
    constexpr std::string_view name = "VmRSS:";
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) / kilobytesPerMegabyte;
        }
    }
    return 0;
}

const Address &RouterProcess::front() const
{
    return front_;
}

std::vector<std::string> deployedCommand(const std::string &deployFile)
{
    std::ifstream file(deployFile);
    constexpr std::string_view start = "run = \"";
    std::string line;
    while (std::getline(file, line)) {
        if (!line.starts_with(start)) {
            continue;
        }
        std::istringstream words(line.substr(start.size(), line.rfind('"') - start.size()));
        std::vector<std::string> result;
        for (std::string word; words >> word;) {
            result.push_back(word);
        }
        return result;
    }
    throw std::runtime_error("the deploy file has no line that runs a role");
}

std::string ownLoopbackHost()
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(100 + process % 100) + "." + std::to_string(process / 100 % 250) + "." + std::to_string(2 + process / 25'000 % 250);
}

} // namespace review
