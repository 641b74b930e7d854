/** An HTTP answer of a controller machine, its body read as JSON. */
export interface ControllerReturn {
  readonly status: number;
  readonly body: unknown;
}
