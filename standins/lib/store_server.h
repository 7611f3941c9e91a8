/* Stand-in of the platform's store: etcd v3's JSON gateway with switches for faults. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct StoreServer StoreServer;

/**
 * store_server_new - starts the stand-in
 * @listen: the gateway; the paths under /admin/ work here too while it is up
 * @admin: (nullable): address on which only the paths under /admin/ work, also while it is down
 *
 * Return: (owned by @parent) the stand-in, or NULL with @error set.
 */
StoreServer *store_server_new (const void *parent, struct tevent_context *ev,
                               const KqAddress *listen, const KqAddress *admin, KqError *error);

/** store_server_port - Return: port of the gateway */
uint16_t store_server_port (const StoreServer *server);

/** store_server_admin - sets a switch as a request to "/admin/@name?@value" would; Return: whether
 * the switch exists */
bool store_server_admin (StoreServer *server, const char *name, long value);
