// Entry point of galenawell, the operators' command-line tool.
#include "galenawell/commandline.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argumentCount, char **arguments)
{
    const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
    return Galenawell::runCommandLine(words, std::cout, std::cerr);
}
