/* Runs one module's CUnit tests. */
#pragma once

#include <stddef.h>

#include "kumquat/types.h"

/**
 * struct KqUnitTest - one test case
 * @name: what must hold
 * @run: the test
 */
typedef struct
{
  const char *name;
  void (*run) (void);
} KqUnitTest;

/** kq_unit_run - Return: exit status, 0 when every assertion held */
int kq_unit_run (const char *suite, const KqUnitTest *tests, size_t count);

/** kq_unit_address - Return: a loopback address of this process's own, so that tests that run at
 * the same time never share a port; @host tells several instances of one test apart */
KqAddress kq_unit_address (uint8_t host, uint16_t port);
