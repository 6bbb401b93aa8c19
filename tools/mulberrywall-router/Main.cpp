#include "NodeProgram.h"

#include "platform/NodeSettings.h"

#include "mulberrywall/Support/BuildInfo.h"

#include <cstdlib>

int main(int argc, char **argv)
{
    using namespace mulberrywall;

    support::setSourceHash(support::sourceHash);
    const router::RouterProgram program {
        .name = "mulberrywall-router",
        .description = "routes language-model requests to endpoints by service level",
        .policy = policy::standardPolicy(),
    };
    if (const char *nodeFile = std::getenv(platform::nodeFileVariable)) {
        return router::runNodeProgram(program, nodeFile, argc, argv);
    }
    return router::runRouterProgram(program, argc, argv);
}
