/* Base64 with padding, as the store's gateway writes keys and values. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** kq_base64_encode - Return: (owned by @parent) the text of @bytes */
char *kq_base64_encode (const void *parent, const void *bytes, size_t size);

/** kq_base64_decode - Return: (owned by @parent) the bytes with a NUL after them, or NULL when
 * @text is NULL or malformed */
uint8_t *kq_base64_decode (const void *parent, const char *text, size_t *size);
