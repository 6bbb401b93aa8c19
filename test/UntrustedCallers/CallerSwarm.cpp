#include "CallerSwarm.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberrywall::untrusted
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

static constexpr std::size_t blockBytes = std::size_t {256} * 1024;
static constexpr milliseconds quietTime {1'000};
static constexpr milliseconds longestActivity {8'000};

static int connectTo(std::uint16_t port, Reading reading)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (reading == Reading::None) {
        const int smallest = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof(smallest));
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

CallerSwarm::CallerSwarm(std::uint16_t port, std::size_t callers, CallerBehaviour behaviour)
    : behaviour_(std::move(behaviour))
{
    while (!behaviour_.repeated.empty() && block_.size() < blockBytes) {
        block_ += behaviour_.repeated;
    }
    for (std::size_t number = 0; number < callers; ++number) {
        Caller caller {.descriptor = connectTo(port, behaviour_.reading), .start = behaviour_.start};
        const std::string_view placeholder = "{n}";
        if (const std::size_t position = caller.start.find(placeholder); position != std::string::npos) {
            caller.start.replace(position, placeholder.size(), std::to_string(number));
        }
        callers_.push_back(std::move(caller));
    }
    thread_ = std::thread([this] { run(); });
}

CallerSwarm::~CallerSwarm()
{
    stopped_ = true;
    thread_.join();
    for (Caller &caller : callers_) {
        disconnect(caller);
    }
}

void CallerSwarm::waitUntilSettled(const std::function<void()> &observe) const
{
    const Clock::time_point start = Clock::now();
    while (Clock::now() - lastMove_.load() < quietTime && Clock::now() - start < longestActivity) {
        observe();
        std::this_thread::sleep_for(milliseconds(10));
    }
    observe();
}

std::size_t CallerSwarm::totalBytes(const Caller &caller) const
{
    return caller.start.size() + behaviour_.repeated.size() * behaviour_.repeats;
}

void CallerSwarm::run()
{
    constexpr int pollMs = 10;
    std::vector<pollfd> polled;
    while (!stopped_) {
        polled.clear();
        const Clock::time_point now = Clock::now();
        for (const Caller &caller : callers_) {
            const bool hasMore = caller.descriptor >= 0 && caller.sent < totalBytes(caller);
            const bool reads = behaviour_.reading == Reading::Everything;
            const auto events = static_cast<short>((hasMore && now >= caller.nextWrite ? POLLOUT : 0) | (reads ? POLLIN : 0));
            polled.push_back({.fd = caller.descriptor, .events = events, .revents = 0});
        }
        ::poll(polled.data(), polled.size(), pollMs);
        for (std::size_t index = 0; index < callers_.size(); ++index) {
            if (polled[index].revents != 0 && serve(callers_[index], polled[index].revents)) {
                lastMove_ = Clock::now();
            }
        }
    }
}

bool CallerSwarm::serve(Caller &caller, short events)
{
    bool moved = false;
    if ((events & POLLIN) != 0) {
        moved = receive(caller);
    }
    if ((events & POLLOUT) != 0 && caller.descriptor >= 0) {
        moved = sendNext(caller) || moved;
    }
    if ((events & (POLLERR | POLLHUP)) != 0 && !moved) {
        disconnect(caller);
    }
    return moved;
}

bool CallerSwarm::sendNext(Caller &caller)
{
    std::string_view next;
    if (caller.sent < caller.start.size()) {
        next = std::string_view(caller.start).substr(caller.sent);
    } else {
        const std::size_t offset = caller.sent - caller.start.size();
        next = std::string_view(block_).substr(offset % block_.size(), totalBytes(caller) - caller.sent);
    }
    if (behaviour_.pieceBytes > 0) {
        next = next.substr(0, behaviour_.pieceBytes);
    }
    const ssize_t size = ::send(caller.descriptor, next.data(), next.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0) {
        if (errno != EAGAIN) {
            disconnect(caller);
        }
        return false;
    }
    caller.sent += static_cast<std::size_t>(size);
    caller.nextWrite = Clock::now() + behaviour_.pause;
    return size > 0;
}

bool CallerSwarm::receive(Caller &caller)
{
    std::array<char, 4096> buffer {};
    const ssize_t size = ::recv(caller.descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN)) {
        disconnect(caller);
    }
    return size > 0;
}

void CallerSwarm::disconnect(Caller &caller)
{
    if (const int descriptor = std::exchange(caller.descriptor, -1); descriptor >= 0) {
        ::close(descriptor);
    }
}

} // namespace mulberrywall::untrusted
