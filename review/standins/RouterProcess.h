#pragma once

#include "Http.h"

#include <cstddef>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review
{

/// The router's part of a small deployment, on one loopback address.
struct RouterOptions
{
    /// Words of the command in the deploy file.
    std::vector<std::string> command;
    std::string host;
    Address store;
    /// Folder for the settings file and the log.
    std::string folder;
    std::string name = "edge-a-1";
};

/// A process of the router, started with the command of the deploy file. The destructor kills it.
class RouterProcess
{
public:
    explicit RouterProcess(RouterOptions options);
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;
    RouterProcess(RouterProcess &&) = delete;
    RouterProcess &operator=(RouterProcess &&) = delete;
    ~RouterProcess();

    void start();
    void signal(int number) const;
    /// Waits for the end of the process, which was requested by a signal.
    void wait();
    [[nodiscard]] bool waitUntilReady(milliseconds timeout) const;
    /// Returns true if the process has ended by itself.
    [[nodiscard]] bool hasEnded();

    /// Returns the resident memory of the process, 0 if there is none.
    [[nodiscard]] std::size_t memoryMb() const;

    [[nodiscard]] const Address &front() const;

private:
    RouterOptions options_;
    Address front_;
    Address ready_;
    std::string settingsFile_;
    pid_t process_ = -1;
};

/// Returns the words of the command of the only role in the deploy file.
[[nodiscard]] std::vector<std::string> deployedCommand(const std::string &deployFile);

/// Returns a loopback address that other runs at the same time do not use.
[[nodiscard]] std::string ownLoopbackHost();

} // namespace review
