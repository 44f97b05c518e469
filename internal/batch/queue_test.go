package batch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/batch"
	"topazpulley/internal/failure"
)

func waitingJob(id, tenant string, chunks int, deadline time.Time) (batch.Job, []int) {
	numbers := make([]int, chunks)
	for index := range numbers {
		numbers[index] = index
	}
	return batch.Job{ID: id, Tenant: tenant, Service: "s", Items: chunks * 10, ChunkSize: 10, Chunks: chunks, Deadline: deadline.UnixMilli()}, numbers
}

// TestQueueSharesByWeight checks that tenants get chunks in proportion to their
// weights.
func TestQueueSharesByWeight(t *testing.T) {
	now := time.Now()
	queue := batch.NewQueue()
	heavy, heavyChunks := waitingJob("heavy", "a", 300, now.Add(24*time.Hour))
	light, lightChunks := waitingJob("light", "b", 300, now.Add(24*time.Hour))
	queue.Add(heavy, 3, heavyChunks)
	queue.Add(light, 1, lightChunks)
	served := map[string]int{}
	for range 200 {
		assignment, found := queue.Next("s", now)
		require.True(t, found)
		served[assignment.Job]++
	}
	require.InDelta(t, 150, served["heavy"], 2)
}

func TestQueueReturnsEachChunkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		queue := batch.NewQueue()
		total := 0
		for index := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			chunks := rapid.IntRange(1, 10).Draw(t, "chunks")
			total += chunks
			deadline := now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "minutes")) * time.Minute)
			job, numbers := waitingJob(fmt.Sprint(index), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), chunks, deadline)
			queue.Add(job, rapid.IntRange(1, 4).Draw(t, "weight"), numbers)
		}
		seen := map[batch.Assignment]bool{}
		for {
			assignment, found := queue.Next("s", now)
			if !found {
				break
			}
			require.False(t, seen[assignment])
			seen[assignment] = true
		}
		require.Len(t, seen, total)
		require.Empty(t, queue.Backlog())
	})
}

func TestUrgentJobGoesFirst(t *testing.T) {
	now := time.Now()
	queue := batch.NewQueue()
	calm, calmChunks := waitingJob("calm", "a", 5, now.Add(24*time.Hour))
	urgent, urgentChunks := waitingJob("urgent", "b", 5, now.Add(time.Minute))
	queue.Add(calm, 1, calmChunks)
	queue.Add(urgent, 1, urgentChunks)
	for range 5 {
		assignment, _ := queue.Next("s", now)
		require.Equal(t, "urgent", assignment.Job)
	}
}

// TestShardLosesNoChunk checks that every chunk can be completed after any
// sequence of assignments, reports, releases and reclaims.
func TestShardLosesNoChunk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		shard := batch.NewShard()
		job, _ := waitingJob("job", "a", 6, now.Add(24*time.Hour))
		shard.AddJob(job, 1, nil, func(string) bool { return true }, now)
		assignee := map[int]string{}
		live := func(worker string) bool { return worker != "gone" }
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			worker := rapid.SampledFrom([]string{"w1", "w2", "gone"}).Draw(t, "worker")
			chunk := rapid.IntRange(0, 5).Draw(t, "chunk")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				for _, assignment := range shard.Assign(worker, "s", 2, now) {
					assignee[assignment.Chunk] = worker
				}
			case 1:
				shard.Report(worker, batch.AssignmentMessage{Job: "job", Chunk: chunk, Done: assignee[chunk] == worker}, now)
			case 2:
				shard.Report(worker, batch.AssignmentMessage{Job: "job", Chunk: chunk, Released: true}, now)
			case 3:
				shard.Reclaim(live, now)
			}
		}
		now = now.Add(time.Hour)
		shard.Reclaim(live, now)
		for _, assignment := range shard.Assign("last", "s", 6, now) {
			shard.Report("last", batch.AssignmentMessage{Job: "job", Chunk: assignment.Chunk, Done: true}, now)
		}
		require.Equal(t, []string{"job"}, shard.Finished())
	})
}

func TestInputErrorHasLineNumber(t *testing.T) {
	good := `{"custom_id":"1","body":{"model":"m","prompt":"p"}}` + "\n"
	cases := map[string]struct {
		line string
		code string
	}{
		"not json":         {`{"custom_id":`, "bad_json"},
		"wrong type":       {`{"custom_id":7,"body":{}}`, "bad_json"},
		"no id":            {`{"body":{"model":"m","prompt":"p"}}`, "no_custom_id"},
		"duplicate id":     {`{"custom_id":"1","body":{"model":"m","prompt":"p"}}`, "duplicate_custom_id"},
		"no model":         {`{"custom_id":"2","body":{"prompt":"p"}}`, "no_model"},
		"no prompt":        {`{"custom_id":"2","body":{"model":"m"}}`, "no_prompt"},
		"negative limit":   {`{"custom_id":"2","body":{"model":"m","prompt":"p","max_tokens":-1}}`, "bad_max_tokens"},
		"excessive limit":  {`{"custom_id":"2","body":{"model":"m","prompt":"p","max_tokens":999999999}}`, "bad_max_tokens"},
		"another endpoint": {`{"custom_id":"2","url":"/v1/x","body":{"model":"m","prompt":"p"}}`, "bad_url"},
		"too long":         {`{"custom_id":"2","body":{"model":"m","prompt":"` + strings.Repeat("x", batch.MaxLineBytes) + `"}}`, "line_too_long"},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := batch.ParseInput([]byte(good+each.line+"\n"), batch.EndpointCompletions)
			require.Equal(t, each.code, failure.From(err).Code)
			require.Equal(t, 2, failure.From(err).Line)
		})
	}
}

// TestManifestCoversEveryItem checks that the chunks of a manifest contain the
// items of the file, in order.
func TestManifestCoversEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(t, "items")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		lines := strings.Builder{}
		for index := range count {
			lines.WriteString(rapid.SampledFrom([]string{"", "\n", "  \n"}).Draw(t, "gap"))
			fmt.Fprintf(&lines, `{"custom_id":"%d","body":{"model":"m","prompt":"p"}}`, index)
			if index < count-1 || rapid.Bool().Draw(t, "final newline") {
				lines.WriteString("\n")
			}
		}
		content := []byte(lines.String())
		input, err := batch.ParseInput(content, batch.EndpointCompletions)
		require.NoError(t, err)
		manifest := batch.ManifestFor(input, size)
		next := 0
		for index := range len(manifest.Offsets) - 1 {
			items, err := batch.ParseChunk(content[manifest.Offsets[index]:manifest.Offsets[index+1]], batch.EndpointCompletions)
			require.NoError(t, err)
			for _, item := range items {
				require.Equal(t, fmt.Sprint(next), item.CustomID)
				next++
			}
		}
		require.Equal(t, count, next)
	})
}

func FuzzParseInput(f *testing.F) {
	f.Add([]byte(`{"custom_id":"1","body":{"model":"m","prompt":"p"}}`))
	f.Add([]byte("\n\n{}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		input, err := batch.ParseInput(content, batch.EndpointCompletions)
		if err == nil {
			require.Len(t, input.LineEnds, input.Items)
			require.Equal(t, int64(len(content)), max(input.LineEnds[input.Items-1], int64(len(content))))
		}
	})
}
