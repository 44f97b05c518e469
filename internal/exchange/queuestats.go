package exchange

import (
	"maps"

	"topazpulley/internal/slotqueue"
)

// queueStatsRecord is the encoded form of the queue statistics of one service.
type queueStatsRecord struct {
	Service    string `avro:"service"`
	OnTime     int    `avro:"in_time"`
	Overdue    int    `avro:"late"`
	FreedSlots int    `avro:"freed"`
}

// addQueueStats returns the sum of both by service.
func addQueueStats(one, other map[string]slotqueue.Stats) map[string]slotqueue.Stats {
	total := maps.Clone(one)
	if total == nil {
		total = map[string]slotqueue.Stats{}
	}
	for service, stats := range other {
		total[service] = total[service].Plus(stats)
	}
	return total
}

// queueStatsWithout returns total minus part by service, without zero entries.
func queueStatsWithout(total, part map[string]slotqueue.Stats) map[string]slotqueue.Stats {
	remaining := make(map[string]slotqueue.Stats, len(total))
	for service, stats := range total {
		if rest := stats.Minus(part[service]); rest != (slotqueue.Stats{}) {
			remaining[service] = rest
		}
	}
	return remaining
}

func queueStatsRecords(stats map[string]slotqueue.Stats) []queueStatsRecord {
	records := make([]queueStatsRecord, 0, len(stats))
	for service, each := range stats {
		records = append(records, queueStatsRecord{Service: service, OnTime: each.OnTime, Overdue: each.Overdue, FreedSlots: each.FreedSlots})
	}
	return records
}

// queueStatsOf returns the statistics by service, or nil if there are no records.
func queueStatsOf(records []queueStatsRecord) map[string]slotqueue.Stats {
	if len(records) == 0 {
		return nil
	}
	stats := make(map[string]slotqueue.Stats, len(records))
	for _, each := range records {
		stats[each.Service] = slotqueue.Stats{OnTime: each.OnTime, Overdue: each.Overdue, FreedSlots: each.FreedSlots}
	}
	return stats
}
