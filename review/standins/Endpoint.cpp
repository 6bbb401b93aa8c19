#include "Endpoint.h"

#include <utility>

namespace review
{

Endpoint::Endpoint(Record &record, Options options)
    : record_(record),
      options_(std::move(options)),
      listener_(options_.host, [this](Connection &connection) { serve(connection); })
{
}

const Address &Endpoint::address() const
{
    return listener_.address();
}

std::vector<Endpoint::Run> Endpoint::runs() const
{
    const std::scoped_lock lock(mutex_);
    return runs_;
}

std::set<std::string> Endpoint::idsOfRuns() const
{
    std::set<std::string> ids;
    for (const Run &run : runs()) {
        ids.insert(run.id);
    }
    return ids;
}

void Endpoint::serve(Connection &connection)
{
    Request request;
    while (connection.readRequest(request)) {
        const std::string id(headerOf(request.headers, "Mulberrywall-Request-Id"));
        record_.add(options_.id + " runs " + id + ": " + request.method + " " + request.target + ", " + std::to_string(request.body.size()) + " bytes");
        {
            const std::scoped_lock lock(mutex_);
            runs_.push_back({.id = id, .method = request.method, .target = request.target, .bodyBytes = request.body.size()});
        }
        std::this_thread::sleep_for(options_.workTime);
        if (!connection.send(renderSealedResponse(id, endpointBody(id)))) {
            return;
        }
        request = {};
    }
}

std::string endpointBody(const std::string &requestId)
{
    return "answer to " + requestId;
}

std::string renderSealedResponse(const std::string &requestId, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nMulberrywall-Request-Id: " + requestId + "\r\nMulberrywall-Server-Seal: seal-of-" + requestId
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
