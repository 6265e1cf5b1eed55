#include "galenawell/core/error.h"

#include <criterion/criterion.h>

using namespace Galenawell;

// Guards against an error message without a remedy.
Test(error, the_message_ends_with_the_remedy_of_its_kind)
{
    const Error error = makeError(ErrorKind::NumberTaken, "number 5 is taken by digest ab12");
    cr_assert(error.message().ends_with(remedyFor(ErrorKind::NumberTaken)));
}
