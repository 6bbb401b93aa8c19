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
    /// Names the process in error messages.
    std::string name;
    std::string binary;
    std::vector<std::string> arguments;
    /// Added to the environment of the test.
    std::vector<std::pair<std::string, std::string>> environment;
};

/// A process that a test starts and that ends with the test at the latest, also when the test itself is ended by a signal.
class ChildProcess
{
public:
    using Line = boost::json::object;

    /// Throws std::runtime_error when the process cannot be started.
    explicit ChildProcess(ChildOptions options);
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ChildProcess(ChildProcess &&) = delete;
    ChildProcess &operator=(ChildProcess &&) = delete;
    /// Sends SIGKILL and waits for the end.
    ~ChildProcess();

    [[nodiscard]] pid_t pid() const noexcept
    {
        return pid_;
    }
    [[nodiscard]] const std::string &name() const noexcept
    {
        return options_.name;
    }

    /// Does nothing once the process has ended.
    void sendSignal(int number);
    [[nodiscard]] bool hasEnded();
    /// Returns the exit code, or minus the number of the signal that ended it. Throws when the deadline passes.
    int waitForEnd(std::chrono::milliseconds deadline = defaultDeadline);

    /// Returns the first line, already logged or yet to come, that matches. Throws when the deadline passes.
    Line waitForLine(const std::string &what, const std::function<bool(const Line &)> &matches, std::chrono::milliseconds deadline = defaultDeadline);
    /// Waits for the line {"message":"listening"} of the named listener, or of any when the name is empty.
    std::uint16_t waitForPort(std::string_view listener = {});
    /// Returns the JSON lines logged so far, with everything that the process has written before this call.
    [[nodiscard]] std::vector<Line> lines() const;
    /// Counts the logged lines with this message.
    [[nodiscard]] std::size_t countLines(std::string_view message) const;
    /// Returns all output so far, for error messages.
    [[nodiscard]] std::string output() const;

private:
    void readOutput();

    ChildOptions options_;
    pid_t pid_ = -1;
    int descriptor_ = -1;
    std::optional<int> status_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Line> lines_;
    std::string output_;
    bool outputEnded_ = false;
    std::thread reader_;
};

} // namespace mulberrywall::harness
