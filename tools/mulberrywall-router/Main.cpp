#include "mulberrywall/Router/RouterProgram.h"

int main(int argc, char **argv)
{
    using namespace mulberrywall;

    const router::RouterProgram program {
        .name = "mulberrywall-router",
        .description = "routes language-model requests to endpoints by service level",
        .policy = policy::standardPolicy(),
    };
    return router::runRouterProgram(program, argc, argv);
}
