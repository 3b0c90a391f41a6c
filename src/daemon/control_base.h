/** @file control_base.h Handles requests to the control server: /rpc, /metrics and /health. */
#pragma once

#include "daemon/lifecycle_base.h"
#include "daemon/request_observer_base.h"
#include "daemon/shared_config_base.h"
#include "http/server_base.h"
#include "rpc/handler_table_base.h"
#include "settings/settings_type.h"

namespace teaselreach::daemon {

/** Handles requests of other daemons, the `teaselreach` tool and monitoring. */
class ControlHandler
{
public:
    /** Sources of the responses; all must outlive the object. */
    struct Parts
    {
        const settings::Settings &settings;
        const Lifecycle &lifecycle;
        const SharedConfig &config;
        const RequestObserver &observer;
        const rpc::HandlerTable &handlers;
    };

    /** @param parts Sources of the responses. */
    explicit ControlHandler(Parts parts)
        : parts_(parts)
    { }

    /** @return The response. May be called by several threads at a time. */
    http::ServerResponse handle(const http::ServerRequest &request) const;

private:
    http::ServerResponse answerRpc(const http::ServerRequest &request) const;
    http::ServerResponse answerHealth() const;

    Parts parts_;
};

} // namespace teaselreach::daemon
