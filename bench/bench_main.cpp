// hawthornpin-bench: the measuring program.

#include "core/event_loop.h"
#include "platform/http_client.h"

#include <iostream>

using namespace hawthornpin;

int main(int argument_count, char** arguments)
{
    if (argument_count < 4) {
        std::cerr << "Usage: hawthornpin-bench get ADDRESS PATH\n";
        return 2;
    }
    event_loop loop;
    http_client client(1);
    const bool has_body = argument_count > 4;
    const auto response = run_to_end(loop, client.send({has_body ? "POST" : "GET",
                                                        std::string("http://") + arguments[2] + arguments[3],
                                                        has_body ? arguments[4] : "",
                                                        {}}));
    std::cout << response.m_body;
    return response.m_transport == http_transport::answered && response.m_status < 400 ? 0 : 1;
}
