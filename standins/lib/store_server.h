/* Stand-in for the platform's store: the JSON gateway of etcd v3 with fault injection. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct StoreServer StoreServer;

/**
 * store_server_new - starts the stand-in
 * @listen: address of the gateway; it also serves the paths under /admin/ while it is up
 * @admin: (nullable): address that serves only the paths under /admin/, even while the gateway
 *   is down
 *
 * Return: (owned by @parent) the stand-in, or NULL with @error set.
 */
StoreServer *store_server_new (const void *parent, struct tevent_context *ev,
                               const KqAddress *listen, const KqAddress *admin, KqError *error);

/** store_server_port - Return: TCP port of the gateway */
uint16_t store_server_port (const StoreServer *server);

/** store_server_admin - executes an admin command as a request to "/admin/@name" with the value
 * @value does; Return: whether the command exists */
bool store_server_admin (StoreServer *server, const char *name, long value);
