#include "Harness/ChildProcess.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/ioctl.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace mulberrywall::harness
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxChildren = 256;

/// Process ids of the running children, 0 for a free entry. Read by a signal handler, hence lock-free and of fixed size.
std::array<std::atomic<pid_t>, maxChildren> liveChildren {};

void killChildrenAndRaise(int number)
{
    for (const std::atomic<pid_t> &child : liveChildren) {
        if (const pid_t pid = child.load(); pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    std::signal(number, SIG_DFL);
    std::raise(number);
}

/// Installs handlers that kill the children when the test aborts or its runner terminates it.
void installSignalHandlers()
{
    static const bool installed = [] {
        for (const int number : {SIGTERM, SIGINT, SIGABRT, SIGSEGV}) {
            std::signal(number, killChildrenAndRaise);
        }
        std::signal(SIGPIPE, SIG_IGN);
        return true;
    }();
    static_cast<void>(installed);
}

void registerChild(pid_t pid)
{
    for (std::atomic<pid_t> &child : liveChildren) {
        pid_t unused = 0;
        if (child.compare_exchange_strong(unused, pid)) {
            return;
        }
    }
    throw std::runtime_error("the test started too many processes at the same time");
}

void unregisterChild(pid_t pid)
{
    for (std::atomic<pid_t> &child : liveChildren) {
        pid_t expected = pid;
        if (child.compare_exchange_strong(expected, 0)) {
            return;
        }
    }
}

std::vector<char *> nullTerminatedPointers(std::vector<std::string> &strings)
{
    std::vector<char *> pointers;
    pointers.reserve(strings.size() + 1);
    for (std::string &text : strings) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

std::vector<std::string> environmentWith(const std::vector<std::pair<std::string, std::string>> &added)
{
    std::vector<std::string> result;
    for (char **entry = environ; *entry != nullptr; ++entry) {
        result.emplace_back(*entry);
    }
    for (const auto &[name, value] : added) {
        result.push_back(std::string(name).append("=").append(value));
    }
    return result;
}

bool hasMessage(const ChildProcess::Line &line, std::string_view message)
{
    const json::value *value = line.if_contains("message");
    return value != nullptr && value->is_string() && value->get_string() == message;
}

} // namespace

ChildProcess::ChildProcess(ChildOptions options)
    : options_(std::move(options))
{
    installSignalHandlers();
    std::array<int, 2> pipeEnds {};
    if (::pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe for the output: " + std::string(std::strerror(errno)));
    }
    std::vector<std::string> arguments = options_.arguments;
    arguments.insert(arguments.begin(), options_.binary);
    std::vector<std::string> environment = environmentWith(options_.environment);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
    const int error = ::posix_spawn(
        &pid_, options_.binary.c_str(), &actions, nullptr, nullTerminatedPointers(arguments).data(), nullTerminatedPointers(environment).data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipeEnds[1]);
    if (error != 0) {
        ::close(pipeEnds[0]);
        throw std::runtime_error("cannot start " + options_.binary + ": " + std::strerror(error));
    }
    registerChild(pid_);
    outputDescriptor_ = pipeEnds[0];
    reader_ = std::thread([this] { readOutput(); });
}

ChildProcess::~ChildProcess()
{
    sendSignal(SIGKILL);
    if (!exitStatus_) {
        ::waitpid(pid_, nullptr, 0);
        unregisterChild(pid_);
    }
    reader_.join();
    ::close(outputDescriptor_);
}

void ChildProcess::sendSignal(int number)
{
    if (!hasEnded()) {
        ::kill(pid_, number);
    }
}

bool ChildProcess::hasEnded()
{
    if (exitStatus_) {
        return true;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) {
        return false;
    }
    unregisterChild(pid_);
    exitStatus_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
    return true;
}

int ChildProcess::waitForEnd(std::chrono::milliseconds deadline)
{
    waitUntil(
        "end of " + options_.name, [this] { return hasEnded(); }, deadline);
    return *exitStatus_;
}

ChildProcess::Line ChildProcess::waitForLine(
    const std::string &description, const std::function<bool(const Line &)> &matches, std::chrono::milliseconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    std::unique_lock lock(mutex_);
    std::size_t next = 0;
    while (true) {
        for (; next < lines_.size(); ++next) {
            if (matches(lines_[next])) {
                return lines_[next];
            }
        }
        const bool changed = !outputEnded_ && changed_.wait_until(lock, end) == std::cv_status::no_timeout;
        if (!changed && next == lines_.size()) {
            throw std::runtime_error(options_.name + " did not log: " + description + "; its output was:\n" + output_);
        }
    }
}

std::uint16_t ChildProcess::waitForPort(std::string_view listener)
{
    const Line line = waitForLine("listening", [listener](const Line &candidate) {
        const json::value *name = candidate.if_contains("listener");
        return hasMessage(candidate, "listening") && (listener.empty() || (name != nullptr && name->is_string() && name->get_string() == listener));
    });
    return line.at("port").to_number<std::uint16_t>();
}

std::vector<ChildProcess::Line> ChildProcess::lines() const
{
    // The reader thread holds the mutex from its read to the end of parsing. If the pipe is empty while this
    // thread holds it, all output has been parsed.
    while (true) {
        {
            const std::scoped_lock lock(mutex_);
            int unread = 0;
            if (outputEnded_ || ::ioctl(outputDescriptor_, FIONREAD, &unread) != 0 || unread == 0) {
                return lines_;
            }
        }
        std::this_thread::yield();
    }
}

std::size_t ChildProcess::countLines(std::string_view message) const
{
    const std::vector<Line> logged = lines();
    return static_cast<std::size_t>(std::count_if(logged.begin(), logged.end(), [message](const Line &line) { return hasMessage(line, message); }));
}

std::string ChildProcess::output() const
{
    const std::scoped_lock lock(mutex_);
    return output_;
}

void ChildProcess::readOutput()
{
    std::string partial;
    std::array<char, 65'536> buffer {};
    while (true) {
        pollfd readable {.fd = outputDescriptor_, .events = POLLIN, .revents = 0};
        if (::poll(&readable, 1, -1) < 0 && errno == EINTR) {
            continue;
        }
        const std::scoped_lock lock(mutex_);
        const ssize_t size = ::read(outputDescriptor_, buffer.data(), buffer.size());
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {
            outputEnded_ = true;
            changed_.notify_all();
            break;
        }
        output_.append(buffer.data(), static_cast<std::size_t>(size));
        partial.append(buffer.data(), static_cast<std::size_t>(size));
        for (std::size_t end = partial.find('\n'); end != std::string::npos; end = partial.find('\n')) {
            json::error_code error;
            const json::value line = json::parse(std::string_view(partial).substr(0, end), error);
            if (!error && line.is_object()) {
                lines_.push_back(line.get_object());
            }
            partial.erase(0, end + 1);
        }
        changed_.notify_all();
    }
}

} // namespace mulberrywall::harness
