#include "mulberrywall/Http/Server.h"

#include "Connection.h"
#include "ServerState.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <utility>

namespace mulberrywall::http
{

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Pause after a connection could not be accepted; other connections end meanwhile and free their descriptors.
constexpr std::chrono::milliseconds acceptPause {50};
class ListeningServer final : public Server
{
public:
    ListeningServer(asio::io_context &context, const ServerOptions &options, RequestHandler handler)
        : context_(context),
          acceptor_(asio::make_strand(context), options.listen),
          acceptTimer_(acceptor_.get_executor()),
          shared_(std::make_shared<ServerSharedState>())
    {
        shared_->options = options;
        shared_->limits = options.limits;
        shared_->handler = std::move(handler);
    }

    void start() override
    {
        accept();
    }

    void setLimits(const RequestLimits &limits) override
    {
        const std::scoped_lock lock(shared_->limitsMutex);
        shared_->limits = limits;
    }

    void disableKeepAlive() override
    {
        shared_->keepAliveDisabled = true;
    }

    void stopAccepting() override
    {
        shared_->stopping = true;
        asio::post(acceptor_.get_executor(), [self = shared_from_this(), this] {
            acceptQueuedConnections();
            error_code ignored;
            acceptor_.close(ignored);
        });
    }

    [[nodiscard]] tcp::endpoint localEndpoint() const override
    {
        return acceptor_.local_endpoint();
    }

    [[nodiscard]] std::size_t connectionCount() const override
    {
        return shared_->connections;
    }

    [[nodiscard]] std::size_t activeExchanges() const override
    {
        return shared_->activeExchanges;
    }

    [[nodiscard]] std::uint64_t rejections(RejectionCause cause) const override
    {
        return shared_->rejections.at(static_cast<std::size_t>(cause));
    }

private:
    void accept()
    {
        acceptor_.async_accept(asio::make_strand(context_), [self = shared_from_this(), this](const error_code &error, tcp::socket socket) {
            if (!error) {
                support::logExceptions("accept connection", [&] { serve(std::move(socket)); });
            }
            if (error == asio::error::operation_aborted || shared_->stopping) {
                return;
            }
            if (error) {
                acceptLater(error);
                return;
            }
            accept();
        });
    }

    /// Accepts again after a pause. Without file descriptors each attempt fails at once, and the connection stays in the queue.
    void acceptLater(const error_code &acceptError)
    {
        support::log(support::Severity::Warning,
            "could not accept a connection; raise the limit on file descriptors or add instances",
            {{"reason", acceptError.message()}});
        acceptTimer_.expires_after(acceptPause);
        acceptTimer_.async_wait([self = shared_from_this(), this](const error_code &error) {
            if (!error && !shared_->stopping) {
                accept();
            }
        });
    }

    /// Accepts all connections in the listen queue. Closing the listener would reset them, and their callers would get no
    /// response.
    void acceptQueuedConnections()
    {
        error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(asio::make_strand(context_));
            acceptor_.accept(socket, error);
            if (!error) {
                serve(std::move(socket));
            }
        }
    }

    void serve(tcp::socket socket)
    {
        const bool hasRoom = shared_->connections < shared_->options.maxConnections || makeRoomForConnection();
        logConnectionLimit();
        if (shared_->connections >= shared_->options.maxConnections + shared_->options.maxExcessConnections) {
            shared_->count(RejectionCause::ConnectionLimit);
            return;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        // The check for a closed connection must not block: a readiness event can refer to data that was already read.
        socket.non_blocking(true, ignored);
        auto connection = std::make_shared<Connection>(std::move(socket), shared_, hasRoom ? ConnectionAdmission::Accepted : ConnectionAdmission::Rejected);
        asio::dispatch(connection->executor(), [connection] { connection->start(); });
    }

    /// Closes the connection that has waited for its caller for the longest time. Returns whether there is one.
    bool makeRoomForConnection()
    {
        const std::shared_ptr<Connection> longest = shared_->waiting.takeLongest();
        if (!longest) {
            return false;
        }
        asio::dispatch(longest->executor(), [longest] { longest->closeIfWaiting(); });
        return true;
    }

    /// Logs when the limit on connections begins and ends to act.
    void logConnectionLimit()
    {
        const std::size_t limit = shared_->options.maxConnections;
        if (shared_->connections >= limit && !shared_->connectionLimitActs.exchange(true)) {
            support::log(support::Severity::Warning,
                "the limit on connections takes effect; idle ones are closed, further ones rejected; raise the limit or add instances",
                {{"limit", limit}});
        }
        if (shared_->connections <= limit / 2 && shared_->connectionLimitActs.exchange(false)) {
            support::log(support::Severity::Info, "the limit on connections no longer takes effect", {{"limit", limit}});
        }
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    std::shared_ptr<ServerSharedState> shared_;
};

} // namespace

std::shared_ptr<Server> Server::create(asio::io_context &context, const ServerOptions &options, RequestHandler handler)
{
    return std::make_shared<ListeningServer>(context, options, std::move(handler));
}

} // namespace mulberrywall::http
