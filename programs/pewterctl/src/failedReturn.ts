import { check } from '@pewterlanding/model';
import type { CommandReturn } from './commandReturn.js';
import type { ControllerReturn } from './controllerReturn.js';
import { exitCode } from './exitCode.js';
import { views } from './views.js';

const exitCodes: Readonly<Record<number, number>> = {
  400: exitCode.findings,
  422: exitCode.findings,
  404: exitCode.notFound,
  409: exitCode.conflict,
};

/** What a command prints when the controller refused its request. */
export function failedReturn(response: ControllerReturn): CommandReturn {
  return { code: exitCodes[response.status] ?? exitCode.failed, text: textOf(response), json: response.body };
}

function textOf(response: ControllerReturn): string {
  const read = check(views.error, response.body);
  if (!read.ok) return `status ${response.status}`;
  const { error, findings } = read.value;
  const lines = findings.map(({ place, message }) => `${place === '' ? '(whole)' : place}: ${message}`);
  return [error, ...lines].join('\n');
}
