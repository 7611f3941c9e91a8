/* Base64 with padding, the encoding of keys and values in the store's HTTP API. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** kq_base64_encode - Return: (owned by @parent) the encoded string */
char *kq_base64_encode (const void *parent, const void *bytes, size_t size);

/** kq_base64_decode - Return: (owned by @parent) the decoded bytes, NUL-terminated, or NULL if
 * @text is NULL or malformed */
uint8_t *kq_base64_decode (const void *parent, const char *text, size_t *size);
