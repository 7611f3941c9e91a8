/* Reads and writes the JSON document that holds one service's configuration. */
#pragma once

#include "kumquat/view.h"

#define KQ_EPOCH_FIRST    1 /* a document without an epoch belongs to this one */
#define KQ_STORE_PREFIX   "/kumquat/v1/"
#define KQ_STORE_SERVICES "/kumquat/v1/services/"

/**
 * kq_service_parse - reads a document and checks every field
 * @bytes: (borrowed): the JSON text
 * @revision: version to record in @service; the document's own epoch goes before its epoch
 * @service: (out): the configuration
 *
 * Return: 0, or -1 with @error set.
 */
int kq_service_parse (const uint8_t *bytes, size_t size, KqRevision revision, KqService *service,
                      KqError *error);

/** kq_service_format - Return: (owned by @parent) the JSON text of @service with @operation inside,
 * the id of the confirm that wrote it */
char *kq_service_format (const void *parent, const KqService *service, const char *operation);
