/** @file error_type.h The base of all exceptions that the system throws. */
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace teaselreach::core {

/**
 * Base of every failure. Subsystems derive one type for each failure they can report, with the
 * facts of the failure as members; code() is stable and machine-readable.
 */
class Error : public std::runtime_error
{
public:
    /**
     * @param code Stable, machine-readable code in snake_case.
     * @param message Human-readable sentence: what failed, with the values involved.
     */
    Error(std::string_view code, const std::string &message);

    /** @return The stable code. */
    const std::string &code() const { return code_; }

private:
    std::string code_;
};

} // namespace teaselreach::core
