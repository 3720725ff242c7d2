// hawthornpin: the command line.

#include "main/command_line.h"

int main(int argument_count, char** arguments)
{
    return hawthornpin::run_command_line(argument_count, arguments);
}
