#include "mulberrywall/Duties/DutyRunner.h"

#include <utility>

namespace mulberrywall::duties
{

std::shared_ptr<DutyRunner> DutyRunner::create(boost::asio::io_context &context, DutyHolderOptions options, DutyStore store, support::MetricsRegistry &metrics)
{
    std::shared_ptr<DutyRunner> runner(new DutyRunner());
    DutyHolderHandlers handlers {.becameHolder =
                                     [weak = std::weak_ptr(runner)](std::uint64_t fence) {
                                         if (const auto self = weak.lock()) {
                                             for (const DutyTask &task : self->tasks_) {
                                                 task.begin(fence);
                                             }
                                         }
                                     },
        .lostLease =
            [weak = std::weak_ptr(runner)] {
                if (const auto self = weak.lock()) {
                    for (const DutyTask &task : self->tasks_) {
                        task.end();
                    }
                }
            }};
    runner->holder_ = std::make_shared<DutyHolder>(context, std::move(options), std::move(store), std::move(handlers), metrics);
    return runner;
}

void DutyRunner::addTask(DutyTask task)
{
    tasks_.push_back(std::move(task));
}

void DutyRunner::start()
{
    holder_->start();
}

void DutyRunner::release(std::function<void()> handler)
{
    holder_->release(std::move(handler));
}

} // namespace mulberrywall::duties
