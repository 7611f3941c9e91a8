/* Conversion of a service's configuration to JSON, shared by documents and plans. */
#pragma once

#include <jansson.h>

#include "kumquat/view.h"

/** kq_service_to_json - Return: (owned by the caller) the document without its operation id */
json_t *kq_service_to_json (const KqService *service);
