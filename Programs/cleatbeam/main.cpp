#include "CommandLine.h"

int main(int argc, char** argv)
{
    return run_command_line(argc, argv);
}
