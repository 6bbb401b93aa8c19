#include "mulberrywall/BackingServices/ObjectClient.h"

#include "ServiceRequest.h"

namespace mulberrywall::backingservices
{

using http::Status;
using http::Verb;

ObjectClient::ObjectClient(boost::asio::any_io_executor executor, const BackingServiceOptions &options)
    : executor_(std::move(executor)),
      options_(options)
{
}

void ObjectClient::put(std::string_view name, std::string content, std::function<void(CommitStatus)> handler) const
{
    http::Request request(Verb::put, "/v1/objects/" + std::string(name), 11);
    request.set(http::Field::content_type, "application/octet-stream");
    request.body() = std::move(content);
    sendRequest(executor_, options_, std::move(request), [handler = std::move(handler)](const http::BufferedResponse &response) {
        if (isComplete(response) && response.status == Status::ok) {
            handler(CommitStatus::Applied);
            return;
        }
        handler(isConfirmedNotApplied(response) ? CommitStatus::NotApplied : CommitStatus::Unknown);
    });
}

void ObjectClient::get(std::string_view name, std::function<void(ObjectResult)> handler) const
{
    http::Request request(Verb::get, "/v1/objects/" + std::string(name), 11);
    sendRequest(executor_, options_, std::move(request), [handler = std::move(handler)](http::BufferedResponse response) {
        if (isComplete(response) && response.status == Status::ok) {
            handler({.status = ReadStatus::Found, .content = std::move(response.body)});
            return;
        }
        const bool isAbsent = isComplete(response) && response.status == Status::not_found;
        handler({.status = isAbsent ? ReadStatus::Absent : ReadStatus::Unavailable, .detail = describeFailure(response)});
    });
}

} // namespace mulberrywall::backingservices
