#pragma once

#include "Case.h"

#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review
{

/// A sound endpoint of a service without an engine: it runs each request for a time and answers with a length.
class Endpoint
{
public:
    struct Options
    {
        std::string id;
        std::string host;
        milliseconds workTime {0};
    };

    /// A request as it has reached the endpoint.
    struct Run
    {
        std::string id;
        std::string method;
        std::string target;
        std::size_t bodyBytes = 0;
    };

    Endpoint(Record &record, Options options);

    [[nodiscard]] const Address &address() const;
    [[nodiscard]] std::vector<Run> runs() const;
    /// Returns the ids of the requests that have begun to run.
    [[nodiscard]] std::set<std::string> idsOfRuns() const;

private:
    void serve(Connection &connection);

    Record &record_;
    Options options_;
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
    Listener listener_;
};

/// Returns the body of the endpoint's answer to the request.
[[nodiscard]] std::string endpointBody(const std::string &requestId);

/// Renders the head and the body of a whole response with the endpoint's seal.
[[nodiscard]] std::string renderSealedResponse(const std::string &requestId, const std::string &body);

} // namespace review
