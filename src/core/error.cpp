/** @file error.cpp The base of all exceptions that the system throws. */
#include "core/error_type.h"

namespace teaselreach::core {

Error::Error(std::string_view code, const std::string &message)
    : std::runtime_error(message)
    , code_(code)
{ }

} // namespace teaselreach::core
