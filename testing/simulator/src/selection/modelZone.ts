/** Fronts and replicas are spread evenly over the zones. */
export function modelZone(index: number, zones: number): string {
  return `zone-${index % zones}`;
}
