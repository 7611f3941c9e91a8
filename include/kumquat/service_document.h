/* Parses and formats the JSON document with the configuration of one service. */
#pragma once

#include "kumquat/view.h"

#define KQ_EPOCH_FIRST    1 /* epoch of a document that does not state one */
#define KQ_STORE_PREFIX   "/kumquat/v1/"
#define KQ_STORE_SERVICES "/kumquat/v1/services/"

/**
 * kq_service_parse - parses a document and checks every field
 * @bytes: (borrowed): the JSON text
 * @revision: revision to record in @service; an epoch stated in the document overrides its epoch
 * @service: (out): the configuration
 *
 * Return: 0, or -1 with @error set.
 */
int kq_service_parse (const uint8_t *bytes, size_t size, KqRevision revision, KqService *service,
                      KqError *error);

/** kq_service_format - Return: (owned by @parent) the JSON text of @service. It includes
 * @operation, the id of the confirmed operation that wrote it */
char *kq_service_format (const void *parent, const KqService *service, const char *operation);
