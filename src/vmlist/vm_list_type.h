/** @file vm_list_type.h Interface to the platform's list of VMs. */
#pragma once

#include "core/error_type.h"
#include "core/vm_type.h"

#include <concepts>
#include <string>

namespace teaselreach::vmlist {

/** The list could not be read or is invalid. */
class VmListUnavailable : public core::Error
{
public:
    /** @param what The endpoints tried and their errors, or the invalid part of the list. */
    explicit VmListUnavailable(const std::string &what)
        : Error("vm_list_unavailable", what)
    { }
};

/** A source of the list. read() throws VmListUnavailable if it cannot get a valid list. */
template <typename T>
concept VmListSource = requires(T &source)
{
    {
        source.read()
        } -> std::same_as<core::VmList>;
};

} // namespace teaselreach::vmlist
