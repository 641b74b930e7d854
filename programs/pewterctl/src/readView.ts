import type * as v from 'valibot';
import { check } from '@pewterlanding/model';
import type { CommandReturn } from './commandReturn.js';
import type { ControllerClient } from './controllerClient.js';
import { exitCode } from './exitCode.js';
import { failedReturn } from './failedReturn.js';

/** Reads a path of the operator interface, and prints it as `textOf` renders it. */
export async function readView<T>(
  controller: ControllerClient,
  path: string,
  schema: v.GenericSchema<unknown, T>,
  textOf: (view: T) => string,
): Promise<CommandReturn> {
  const response = await controller.ask('GET', path);
  if (response.status !== 200) return failedReturn(response);
  const view = check(schema, response.body);
  if (view.ok) return { code: exitCode.done, text: textOf(view.value), json: response.body };
  const lines = view.findings.map((finding) => `${finding.place}: ${finding.message}`);
  return { code: exitCode.failed, text: lines.join('\n'), json: response.body };
}
