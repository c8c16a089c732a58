package check

// checkPools finds pools that no route's requests can reach, and routes whose requests reach none.
func (f *finder) checkPools() {
	declared, used := make(map[string]bool), make(map[string]bool)
	for i, p := range f.Pools {
		declared[p.Name] = true
		if p.Engine != nil && len(p.Engine.Models) == 0 {
			f.add(Part{List: Pools, Index: i, Field: Engine}, NoServer, "engines of a pool without base models get no requests")
		}
		if p.Engine != nil && p.Engine.BatchSize <= 0 {
			f.add(Part{List: Pools, Index: i, Field: Engine}, NoServer, "engines that run no request at a time get none")
		}
	}
	for i, r := range f.Routes {
		total := 0
		for j, s := range r.TrafficSplit {
			total += s.Weight
			used[s.Pool] = true
			if !declared[s.Pool] {
				f.add(Part{List: Routes, Index: i, Field: Pool, Item: j}, UndeclaredPool, "there is no pool "+s.Pool)
			}
		}
		if total == 0 {
			f.add(Part{List: Routes, Index: i, Field: Pool}, NoServer, "all weights are 0, so no server gets a request")
		}
	}
	for i, p := range f.Pools {
		if !used[p.Name] {
			f.add(Part{List: Pools, Index: i}, UnusedPool, "no route sends requests to pool "+p.Name)
		}
	}
}
