/** @file control_base.h Answers of the control server: /rpc, /metrics and /health. */
#pragma once

#include "daemon/lifecycle_base.h"
#include "daemon/request_observer_base.h"
#include "daemon/shared_config_base.h"
#include "http/server_base.h"
#include "rpc/handler_table_base.h"
#include "settings/settings_type.h"

namespace teaselreach::daemon {

/** Answers requests of other daemons, the tool and monitoring. */
class ControlHandler
{
public:
    /** What the answers are made from; all of it must outlive the object. */
    struct Parts
    {
        const settings::Settings &settings;
        const Lifecycle &lifecycle;
        const SharedConfig &config;
        const RequestObserver &observer;
        const rpc::HandlerTable &handlers;
    };

    /** @param parts What the answers are made from. */
    explicit ControlHandler(Parts parts)
        : parts_(parts)
    { }

    /** @return The answer; may be called by several threads at a time. */
    http::ServerResponse handle(const http::ServerRequest &request) const;

private:
    http::ServerResponse answerRpc(const http::ServerRequest &request) const;
    http::ServerResponse answerHealth() const;

    Parts parts_;
};

} // namespace teaselreach::daemon
