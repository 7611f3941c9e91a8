/* Helpers for unit tests based on CUnit. */
#pragma once

#include <stddef.h>

#include "kumquat/types.h"

/**
 * struct KqUnitTest - a test case
 * @name: description of the tested behaviour
 * @run: the test function
 */
typedef struct
{
  const char *name;
  void (*run) (void);
} KqUnitTest;

/** kq_unit_run - runs a test suite. Return: exit status, 0 if all assertions passed */
int kq_unit_run (const char *suite, const KqUnitTest *tests, size_t count);

/** kq_unit_address - Return: a loopback address that is unique to this process, so that concurrent
 * tests never use the same port; @host distinguishes the instances of a test */
KqAddress kq_unit_address (uint8_t host, uint16_t port);
