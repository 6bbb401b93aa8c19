#pragma once

#include "Harness/Wait.h"

#include <boost/json/object.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace mulberrywall::harness
{

struct ChildOptions
{
    /// Name of the process in error messages.
    std::string name;
    std::string binary;
    std::vector<std::string> arguments;
    /// Variables that are added to the environment of the test.
    std::vector<std::pair<std::string, std::string>> environment;
};

/// A process that a test starts. It is killed when the test ends, also when a signal terminates the test.
class ChildProcess
{
public:
    using Line = boost::json::object;

    /// Throws std::runtime_error if the process cannot be started.
    explicit ChildProcess(ChildOptions options);
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ChildProcess(ChildProcess &&) = delete;
    ChildProcess &operator=(ChildProcess &&) = delete;
    /// Sends SIGKILL and waits for the process to end.
    ~ChildProcess();

    [[nodiscard]] pid_t pid() const noexcept
    {
        return pid_;
    }
    [[nodiscard]] const std::string &name() const noexcept
    {
        return options_.name;
    }

    /// Sends the signal unless the process has ended.
    void sendSignal(int number);
    [[nodiscard]] bool hasEnded();
    /// Returns the exit code, or minus the number of the signal that ended it. Throws std::runtime_error if the
    /// deadline passes.
    int waitForEnd(std::chrono::milliseconds deadline = defaultDeadline);

    /// Returns the first matching line, whether already logged or logged later. Throws std::runtime_error,
    /// which contains the description, if the deadline passes or the output ends without it.
    Line waitForLine(const std::string &description, const std::function<bool(const Line &)> &matches, std::chrono::milliseconds deadline = defaultDeadline);
    /// Waits for the line {"message":"listening"} of the named listener, or of any listener if the name is
    /// empty, and returns its port.
    std::uint16_t waitForPort(std::string_view listener = {});
    /// Returns the JSON lines logged so far, including all that the process has written before this call.
    [[nodiscard]] std::vector<Line> lines() const;
    /// Returns the number of logged lines with this message.
    [[nodiscard]] std::size_t countLines(std::string_view message) const;
    /// Returns all output so far, for error messages.
    [[nodiscard]] std::string output() const;

private:
    void readOutput();

    ChildOptions options_;
    pid_t pid_ = -1;
    /// Read end of the pipe that receives standard output and standard error.
    int outputDescriptor_ = -1;
    /// Exit code, or minus the signal number; empty until hasEnded() has seen the end of the process.
    std::optional<int> exitStatus_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Line> lines_;
    std::string output_;
    bool outputEnded_ = false;
    std::thread reader_;
};

} // namespace mulberrywall::harness
